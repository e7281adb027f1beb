package htpath

import (
	"errors"
	"io"
	"net/http"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htmemory"
)

// Call is a request that is being routed to an upstream.
type Call struct {
	Meta     htcall.Meta
	Deadline time.Time
	Header   http.Header
	Trailer  http.Header // complete once Body has been read to its end; may be nil
	Body     *Body
}

// Remaining returns the time from now to the deadline, and zero after the deadline.
func (c *Call) Remaining(now time.Time) time.Duration {
	return max(0, c.Deadline.Sub(now))
}

// Answer is the result of a call. Body is nil if the answer has no body; otherwise
// the receiver must read it to the end or close it. Trailer may be nil; it must be
// called only after Body has returned io.EOF.
type Answer struct {
	Outcome htcall.Outcome
	Reason  htcall.Reason
	Status  int
	Header  http.Header
	Trailer func() http.Header
	Body    io.ReadCloser
	Load    *htcall.Load // load of the shard that answered; nil if none did
	Crash   bool         // the upstream closed the connection while the request ran
}

// Refusal returns an answer with outcome not-run and the status that fits the reason.
func Refusal(reason htcall.Reason) *Answer {
	return &Answer{Outcome: htcall.NotRun, Reason: reason, Status: refusalStatus(reason)}
}

// UnknownOutcome returns an answer with outcome unknown, for a request that may have
// run. Its status is 504.
func UnknownOutcome(reason htcall.Reason) *Answer {
	return &Answer{Outcome: htcall.Unknown, Reason: reason, Status: http.StatusGatewayTimeout}
}

// Discard releases the resources of an answer that is not used. It reads the body to
// its end: the slot is then released when the upstream has sent all of it, which keeps
// the slot count exact. A nil answer is allowed.
func (a *Answer) Discard() {
	if a == nil || a.Body == nil {
		return
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
}

func refusalStatus(reason htcall.Reason) int {
	switch reason {
	case htcall.ReasonBadRequest, htcall.ReasonKeyInvalid:
		return http.StatusBadRequest
	case htcall.ReasonUnknownService:
		return http.StatusNotFound
	case htcall.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// ReplayLimit is the largest size in bytes of an answer that is buffered in memory, and of a
// request body that is buffered on the host to which it is forwarded.
const ReplayLimit = 64 << 10

// CallBytes is the memory that a call and its answer may take on a host, without the request body.
const CallBytes = ReplayLimit + 3*copyBufferSize // one to read into, one to hold and one to write from

// ErrBodyConsumed is returned when a streamed body is opened a second time.
var ErrBodyConsumed = errors.New("streamed request body cannot be sent again")

// Body is the body of a request. A short body is buffered in memory and can be opened any
// number of times. A larger one is streamed and can be opened once.
type Body struct {
	buffered htmemory.Body
	stream   *stream
	opened   bool
}

// NewBody returns a Body that buffers r in the memory of a lease if it has fewer than spoolLimit
// bytes, so that a slow caller does not occupy an upstream's slot while it sends. Otherwise it
// buffers the first spoolLimit bytes and streams the rest. The length is -1 if it is not known. The
// error wraps htmemory.ErrNoMemory if the lease has no memory, or is that of reading r, for example
// because the caller's connection was closed before the end of the body.
func NewBody(r io.Reader, length int64, memory *htmemory.Lease) (*Body, error) {
	if r == nil || r == http.NoBody {
		return &Body{}, nil
	}
	start, whole, err := memory.ReadStart(r, length, spoolLimit)
	if err != nil {
		return nil, err
	}
	if whole {
		return &Body{buffered: start}, nil
	}
	return StreamBody(io.MultiReader(start.Reader(), r)), nil
}

// StreamBody returns a Body that streams r and can be opened once.
func StreamBody(r io.Reader) *Body {
	return &Body{stream: &stream{source: r}}
}

// Open returns a reader of the body from its start, or ErrBodyConsumed if a streamed
// body was opened before.
func (b *Body) Open() (io.ReadCloser, error) {
	if b.stream == nil {
		return io.NopCloser(b.buffered.Reader()), nil
	}
	if b.opened {
		return nil, ErrBodyConsumed
	}
	b.opened = true
	return io.NopCloser(b.stream), nil
}

// Replayable reports whether the next call of Open will succeed.
func (b *Body) Replayable() bool {
	return b.stream == nil || !b.opened
}

// Buffered reports whether the whole body is in memory.
func (b *Body) Buffered() bool {
	return b.stream == nil
}

// Len returns the size in bytes, or -1 if the body is streamed.
func (b *Body) Len() int64 {
	if b.stream != nil {
		return -1
	}
	return int64(b.buffered.Len())
}
