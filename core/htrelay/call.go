package htrelay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/htselect"
	"hawthornturn/core/htusage"
)

// Call is a request of a caller. Its body is held in memory.
type Call struct {
	ID       string
	Method   string
	Host     string
	URI      string
	Header   http.Header
	Body     htmemory.Body
	Route    *htcatalog.Route
	Account  *htcatalog.Account   // nil if the request names none
	Key      *htcatalog.KeyDigest // nil if the request has none
	Config   int64                // version of the configuration that admitted the call
	Arrived  time.Time
	Deadline time.Time
	// FirstAttempt is the estimated time of the caller's first attempt; Serve sets it.
	FirstAttempt time.Time
	// CallerTimeout is the time that the caller has left, or 0 if it sent no timeout.
	CallerTimeout time.Duration
	// Memory holds the body and the answers of the call; nil means that they are not bounded.
	Memory *htmemory.Lease
}

// Priority returns the priority of the account or, if it has none, that of the route.
func (c *Call) Priority() int {
	if c.Account != nil && c.Account.Priority != nil {
		return *c.Account.Priority
	}
	return c.Route.Priority
}

// onTime reports whether an answer after a further time meets the target of the route.
func (c *Call) onTime(now time.Time, within time.Duration) bool {
	return now.Sub(c.FirstAttempt)+within <= c.Route.Target
}

// fingerprint identifies the request for crash counting. A retry of the same request has
// the same fingerprint, although its id differs.
func (c *Call) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Method, c.Host, c.URI} {
		_, _ = h.WriteString(part) // a Digest never fails to write
		_, _ = h.Write([]byte{0})
	}
	_, _ = c.Body.WriteTo(h)
	return h.Sum64()
}

// Answer is the answer to the caller.
type Answer struct {
	Outcome    htcall.Outcome
	Reason     htcall.Reason
	Status     int
	Header     http.Header // the upstream's, or nil
	Body       htmemory.Body
	RetryAfter time.Duration // for refusals
	Trace      Trace
}

// Trace records how the answer came about, for the log line of the call.
type Trace struct {
	Service        string
	Upstream       string
	Domain         string // of the upstream
	Sends          int
	Hedges         int
	Waited         time.Duration
	WorkTimeFactor float64
	Load           float64
	Age            time.Duration
	Expected       time.Duration

	// UpstreamCounts, Ahead and Pressure are set for refused calls: the upstreams by the
	// reason why they could not take the call, the calls that waited before it, and the
	// share of the recent calls that had to wait.
	UpstreamCounts htselect.UpstreamCounts
	Ahead          int
	Pressure       float64
	// Share is set for refused calls if accounts are declared.
	Share *Share
	// Usage is set for calls beyond the limit of their account.
	Usage *htusage.Refusal
	// Fingerprint is set for quarantined calls and for those with an unknown outcome.
	Fingerprint string
}

// Share is what a refused call's account uses and may use.
type Share struct {
	Use   float64       // multiple of its usual load
	Level float64       // up to which it may use upstreams, or +Inf
	Age   time.Duration // of the demand on all hosts that this follows from; negative if there is none
}

func refusal(reason htcall.Reason, after time.Duration) *Answer {
	return &Answer{Outcome: htcall.NotRun, Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: after}
}

func unknownAnswer(reason htcall.Reason) *Answer {
	status := http.StatusBadGateway
	if reason == htcall.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return &Answer{Outcome: htcall.Unknown, Reason: reason, Status: status}
}
