package htrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htroute"
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
	Misdirected bool // the address belongs to another upstream
	Report      *htselect.Observation
}

// NotSent means that no byte of the call left this host.
type NotSent struct {
	Err            error
	Refused        bool // the address accepts no connections
	ConnectTimeout bool // the address did not answer in time
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

// ErrGone means that an upstream is no longer at its address: the address accepts no
// connections, or another upstream answers there.
var ErrGone = errors.New("upstream is gone from its address")

// Prober asks upstreams for their state.
type Prober interface {
	// Probe returns what the upstream says of itself at its health path. The error wraps
	// ErrGone if the upstream is gone for all hosts, not only out of reach of this one.
	Probe(ctx context.Context, to htcatalog.Upstream, healthPath string) (htselect.Observation, error)
}

// Events is told what this host saw and decided. The methods must not block.
type Events interface {
	// UpstreamDown is told of an upstream that stopped answering. Gone says that this
	// holds for all hosts.
	UpstreamDown(u htcatalog.Upstream, err error, gone bool)
	// UpstreamChanged is told of an upstream that has become usable, cold, ill or down, or
	// no longer is.
	UpstreamChanged(u htcatalog.Upstream, before, after htselect.Observation)
	// UpstreamFault is told of a failure that other hosts should know. Avoided says that the
	// upstream counts as faulty because of it.
	UpstreamFault(u htcatalog.Upstream, f htselect.Fault, avoided bool)
	// Crashed is told of a crash that a request has caused.
	Crashed(c htroute.CrashCount)
	// Decided is told of each step on the way of a call.
	Decided(call *Call, d Decision)
}
