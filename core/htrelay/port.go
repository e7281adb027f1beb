package htrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htselect"
)

// Sender sends calls to upstreams.
type Sender interface {
	// Send sends the call, passes deadline on to the upstream and returns the result. It
	// ends early if ctx is canceled.
	Send(ctx context.Context, to htcatalog.Upstream, deadline time.Time, call *Call) Reply
}

// Reply is the result of one send: Answered, Refused, NotSent or Broken.
type Reply interface{ reply() }

// Answered is a complete answer of the upstream.
type Answered struct {
	Status int
	Header http.Header
	Body   htmemory.Body
	Report *htselect.Observation // nil if the answer carries no load
	Notice htselect.Notice
	Work   time.Duration // from sending the request to the end of the answer
}

// Refused means that the upstream reported that it did not run the call.
type Refused struct {
	Misdirected bool // the address belongs to another upstream
	Report      *htselect.Observation
	Notice      htselect.Notice
}

// NotSent means that no byte of the call left this host.
type NotSent struct {
	Err            error
	ConnectRefused bool // the address accepts no connections
	ConnectTimeout bool // the address did not answer within the connect timeout
}

// Broken means that the call was sent and no complete answer to it came back.
type Broken struct {
	Err   error
	Reset bool // the connection was closed, as when the upstream crashes
}

func (Answered) reply() {}
func (Refused) reply()  {}
func (NotSent) reply()  {}
func (Broken) reply()   {}

// ErrGone means that an upstream is no longer at its address: the address accepts no
// connections, or another upstream answers there.
var ErrGone = errors.New("upstream is gone from its address")

// Prober probes upstreams.
type Prober interface {
	// Probe returns the state that the upstream reports at its health path. The error wraps
	// ErrGone if the upstream is gone for all hosts, not only unreachable from this one.
	Probe(ctx context.Context, to htcatalog.Upstream, healthPath string) (htselect.Observation, error)
}

// Events receives what this host observed and decided. The methods must not block.
type Events interface {
	// UpstreamDown reports an upstream that stopped answering. Gone means that it is down
	// for all hosts.
	UpstreamDown(u htcatalog.Upstream, err error, gone bool)
	// UpstreamChanged reports that the State of an upstream changed.
	UpstreamChanged(u htcatalog.Upstream, before, after htselect.Observation)
	// UpstreamLeaving reports an upstream that announced its leaving to this host.
	UpstreamLeaving(u htcatalog.Upstream)
	// UpstreamPaused reports an upstream that has asked this host for no calls for a time.
	UpstreamPaused(u htcatalog.Upstream, pause time.Duration)
	// UpstreamFault reports a fault that other hosts should know of. Avoided means that it
	// makes the upstream count as faulty.
	UpstreamFault(u htcatalog.Upstream, f htselect.Fault, avoided bool)
	// Crashed reports an upstream crash that is attributed to a request.
	Crashed(c htroute.CrashCount)
	// Decided reports each step of a call.
	Decided(call *Call, d Decision)
}
