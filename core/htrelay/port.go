package htrelay

import (
	"context"
	"net/http"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

// Sender sends calls to upstreams.
type Sender interface {
	// Send sends the call, tells the upstream to give up at deadline, and returns what
	// came back. It ends early if ctx is canceled.
	Send(ctx context.Context, to htcatalog.Upstream, deadline time.Time, call *Call) Reply
}

// Reply is what came of one send: Answered, Refused, NotSent or Broken.
type Reply interface{ reply() }

// Answered is a whole answer of the upstream.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
	Report *htselect.Observation // nil if the answer tells no load
	Work   time.Duration         // from the request being sent to the end of the answer
}

// Refused means that the upstream said that it did not run the call.
type Refused struct {
	Misplaced bool // the address belongs to another upstream
	Report    *htselect.Observation
}

// NotSent means that no byte of the call left this host.
type NotSent struct {
	Err     error
	Refused bool // the address accepts no connections
	Silent  bool // the address did not answer in time
}

// Broken means that the call was sent and no whole answer of its own came back.
type Broken struct {
	Err   error
	Reset bool // the connection ended, as it does when the upstream crashes
}

func (Answered) reply() {}
func (Refused) reply()  {}
func (NotSent) reply()  {}
func (Broken) reply()   {}

// Events tells other hosts what this one saw. The methods must not block.
type Events interface {
	Observed(o htselect.Observation)
	Faulty(f htselect.Fault)
	// Counted says that the number of this host's calls at an upstream has changed.
	Counted(ref htcatalog.Ref)
}
