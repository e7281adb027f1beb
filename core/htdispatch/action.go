package htdispatch

import (
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
)

// Request asks for one run of a call on an upstream of the shard.
type Request struct {
	ID          string
	Service     string
	Caller      string
	Idempotent  bool
	Fingerprint string
	Deadline    time.Time
}

// Ticket identifies a slot that a started call holds until Finish is called.
type Ticket uint64

// Action is something the owner of a Pool must do. Its implementations are Start,
// Refuse and Probe.
type Action interface{ action() }

// Start says: send the request to the upstream now.
type Start struct {
	Ticket   Ticket
	Request  Request
	Upstream htresource.Upstream
	Deadline time.Time // deadline to give to the upstream; never after Request.Deadline
}

// Refuse says: tell the caller that the request did not run.
type Refuse struct {
	Request Request
	Reason  htcall.Reason
}

// Probe says: measure the upstream once and call ProbeDone.
type Probe struct {
	Upstream htresource.Upstream
}

func (Start) action()  {}
func (Refuse) action() {}
func (Probe) action()  {}

// UpstreamState is what an upstream says of itself with an answer or a probe.
type UpstreamState string

// The states of an upstream.
const (
	StateUnknown  UpstreamState = ""
	StateWarm     UpstreamState = "warm"
	StateCold     UpstreamState = "cold"
	StateDraining UpstreamState = "draining"
)

// Report is the upstream's view of its own load. It is stale when it arrives.
type Report struct {
	State    UpstreamState
	InFlight int
	Slots    int
}

// Result tells how a started call ended. Its implementations are Answered,
// Refused, NotSent, Broken and Abandoned.
type Result interface{ result() }

// Completed means that the whole answer arrived. Work is the time the upstream took,
// without time spent streaming bodies to a slow caller.
type Completed struct {
	Work   time.Duration
	Report Report
}

// Refused means that the upstream refused the request without starting it.
type Refused struct {
	Report Report
}

// NotSent means that no byte of the request was sent, because the connection could
// not be opened or, if Local is true, for a reason on this side, for example that
// the caller left first.
type NotSent struct {
	Local bool
}

// ConnectionLost means that the connection ended after the request was sent and before the
// answer was whole. The upstream may still be working, or may have crashed.
// Silent is true if the connection timed out rather than being closed by the peer.
type ConnectionLost struct {
	TimedOut bool
}

// Abandoned means that the deadline passed or the caller left while the upstream
// may still be working, so that its slot stays taken: until the deadline given to it
// has passed, or, if the connection was closed to cancel the request, for
// Config.CancelGrace.
type Abandoned struct {
	DeadlinePassed bool
}

func (Completed) result()      {}
func (Refused) result()        {}
func (NotSent) result()        {}
func (ConnectionLost) result() {}
func (Abandoned) result()      {}
