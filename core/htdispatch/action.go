package htdispatch

import (
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
)

// Request is one call to run on an upstream of the shard.
type Request struct {
	ID          string
	Service     string
	Caller      string
	Idempotent  bool
	Fingerprint string
	Deadline    time.Time
}

// Ticket identifies a started request and the slot that it occupies. It is passed to
// Finish.
type Ticket uint64

// Action is an effect that the caller of a Pool method must perform. Its
// implementations are Start, Refuse and Probe.
type Action interface{ action() }

// Start requires sending the request to the upstream immediately.
type Start struct {
	Ticket   Ticket
	Request  Request
	Upstream htresource.Upstream
	Deadline time.Time // deadline to send to the upstream; never after Request.Deadline
}

// Refuse requires reporting to the caller that the request was not run.
type Refuse struct {
	Request Request
	Reason  htcall.Reason
}

// Probe requires probing the upstream once and passing the result to ProbeDone.
type Probe struct {
	Upstream htresource.Upstream
}

func (Start) action()  {}
func (Refuse) action() {}
func (Probe) action()  {}

// UpstreamState is the state that an upstream reports with a response or probe result.
type UpstreamState string

// States that an upstream can report. StateUnknown means that it reported none.
const (
	StateUnknown  UpstreamState = ""
	StateWarm     UpstreamState = "warm"
	StateCold     UpstreamState = "cold"
	StateDraining UpstreamState = "draining"
)

// Report is the load that an upstream reports with a response or probe result. It is
// already stale when it arrives.
type Report struct {
	State    UpstreamState
	InFlight int
	Slots    int
}

// Result is how a started request ended. Its implementations are Completed, Refused,
// NotSent, ConnectionLost and Abandoned.
type Result interface{ result() }

// Completed means that the entire response arrived. Work is the processing time on the
// upstream, excluding the time spent streaming bodies to a slow caller.
type Completed struct {
	Work   time.Duration
	Report Report
}

// Refused means that the upstream refused the request without executing it.
type Refused struct {
	Report Report
}

// NotSent means that no byte of the request was sent. Local is false if the connection
// could not be opened, and true if the cause is on the dispatcher's side, for example
// that the caller disconnected first.
type NotSent struct {
	Local bool
}

// ConnectionLost means that the connection failed after the request was sent and before
// the response was complete. The upstream may still be processing the request, or may
// have crashed. TimedOut is true if the connection timed out rather than being closed
// by the peer.
type ConnectionLost struct {
	TimedOut bool
}

// Abandoned means that the deadline passed or the caller disconnected while the
// upstream may still be processing the request. The slot stays occupied until the
// deadline sent to the upstream has passed or, if the connection was closed to cancel
// the request, for Config.CancelGrace.
type Abandoned struct {
	DeadlinePassed bool
}

func (Completed) result()      {}
func (Refused) result()        {}
func (NotSent) result()        {}
func (ConnectionLost) result() {}
func (Abandoned) result()      {}
