package htpath

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"hawthornturn/core/htcall"
)

// Call is a request on its way to an upstream.
type Call struct {
	Meta     htcall.Meta
	Deadline time.Time
	Header   http.Header
	Trailer  http.Header // filled in by the time Body is at its end; may be nil
	Body     *Body
}

// Remaining returns the time left at now, and at least zero.
func (c *Call) Remaining(now time.Time) time.Duration {
	return max(0, c.Deadline.Sub(now))
}

// Answer is what came of a call. Body is nil if the answer has no body; otherwise
// the receiver must read it to the end or close it. Trailer may be nil; it is called
// after Body returned io.EOF.
type Answer struct {
	Outcome htcall.Outcome
	Reason  htcall.Reason
	Status  int
	Header  http.Header
	Trailer func() http.Header
	Body    io.ReadCloser
	Load    *htcall.Load // load of the shard that answered, if one did
	Crash   bool         // the upstream's connection was closed while the request ran
}

// Refusal returns an answer for a request that did not run.
func Refusal(reason htcall.Reason) *Answer {
	return &Answer{Outcome: htcall.NotRun, Reason: reason, Status: refusalStatus(reason)}
}

// UnknownOutcome returns an answer for a request that may have run.
func UnknownOutcome(reason htcall.Reason) *Answer {
	return &Answer{Outcome: htcall.Unknown, Reason: reason, Status: http.StatusGatewayTimeout}
}

// Discard releases the resources of an answer that nobody will read. The upstream
// may still be sending it, so it is drained to keep the slot count exact.
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

// ReplayLimit is the size up to which a request body is kept in memory, so that
// it can be sent again and a slow caller does not hold an upstream's slot.
const ReplayLimit = 64 << 10

// ErrBodyConsumed is returned when a streamed body would have to be sent twice.
var ErrBodyConsumed = errors.New("request body was already sent once")

// Body is the body of a request. Up to ReplayLimit bytes it is held in memory and
// can be opened any number of times; a larger one is streamed and opens once.
type Body struct {
	held   []byte
	stream io.Reader
	opened bool
}

// NewBody reads up to ReplayLimit bytes of r. An error means that the caller's body
// ended early.
func NewBody(r io.Reader) (*Body, error) {
	if r == nil || r == http.NoBody {
		return &Body{}, nil
	}
	var held bytes.Buffer
	n, err := io.CopyN(&held, r, ReplayLimit+1)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if n <= ReplayLimit {
		return &Body{held: held.Bytes()}, nil
	}
	return &Body{stream: io.MultiReader(&held, r)}, nil
}

// StreamBody returns a Body that streams r and opens once.
func StreamBody(r io.Reader) *Body {
	return &Body{stream: r}
}

// Open returns the body from its start.
func (b *Body) Open() (io.ReadCloser, error) {
	if b.stream == nil {
		return io.NopCloser(bytes.NewReader(b.held)), nil
	}
	if b.opened {
		return nil, ErrBodyConsumed
	}
	b.opened = true
	return io.NopCloser(b.stream), nil
}

// Replayable reports whether Open can be called again.
func (b *Body) Replayable() bool {
	return b.stream == nil || !b.opened
}

// Buffered reports whether the whole body is in memory.
func (b *Body) Buffered() bool {
	return b.stream == nil
}

// Len returns the size, or -1 if the body is streamed.
func (b *Body) Len() int64 {
	if b.stream != nil {
		return -1
	}
	return int64(len(b.held))
}
