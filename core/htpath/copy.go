package htpath

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htmemory"
)

// copyBufferSize is the size in bytes of the buffers for streaming answers.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// hopByHop lists the header fields that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Transfer-Encoding", "Upgrade", "Trailer",
}

// Prefixes of header fields that only hawthornturn may set.
const (
	publicPrefix   = "Hawthornturn-"
	internalPrefix = "Ht-"
)

// StripHopByHop removes the header fields that must not be forwarded, including those
// that the Connection field lists.
func StripHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// StripReserved removes the header fields that only hawthornturn may set, so that neither a
// caller nor an upstream can forge them.
func StripReserved(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, publicPrefix) || strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
}

// WriteAnswer writes an answer's header, body and trailer to w. Header fields of w that
// the answer does not contain are kept. The header is written after the first part of
// the body, or the whole of a short body, has been read. A body that fails before that
// is reported as unknown. After that the connection is aborted, so that the receiver
// cannot mistake a truncated body for a complete one. What the receiver has not taken is held
// in memory, which has copyBufferSize bytes for that already; without memory, the body is read
// as it is written.
func WriteAnswer(w http.ResponseWriter, answer *Answer, memory *htmemory.Lease) {
	answer, whole := readStart(answer)
	if !whole && memory != nil {
		answer.Body = newSpool(answer.Body, memory)
	}
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	SetOutcome(header, answer)
	w.WriteHeader(answer.Status)
	if answer.Body == nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	streamed := header.Get("Content-Length") == ""
	if streamed {
		// Without this flush, net/http sets Content-Length on a short answer and then
		// sends no trailer.
		_ = http.NewResponseController(w).Flush()
	}
	copied, err := copyBody(w, answer.Body, streamed)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if length, known := bufferableLength(header); known && copied > 0 {
		htassert.That(copied == length, htassert.WholeAnswer, "%d of %d bytes were forwarded as a complete answer", copied, length)
	}
	if answer.Trailer == nil {
		return
	}
	for name, values := range answer.Trailer() {
		header[http.TrailerPrefix+name] = values
	}
}

// readStart reads the first part of the body, or the whole of a short one, and returns
// an answer whose body starts with it, and whether that is the whole. If reading fails, it
// returns an answer with outcome unknown.
func readStart(answer *Answer) (_ *Answer, whole bool) {
	if answer.Body == nil {
		return answer, true
	}
	size := headSize
	if length, ok := bufferableLength(answer.Header); ok {
		size = length
	}
	head := make([]byte, max(size, 1))
	n, err := fillHead(answer, head)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = answer.Body.Close()
		return UnknownOutcome(htcall.ReasonBroken), true
	}
	result := *answer
	rest := io.Reader(answer.Body)
	_, whole = bufferableLength(answer.Header)
	if errors.Is(err, io.EOF) {
		rest, whole = eofReader{}, true
	}
	result.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(head[:n]), rest), Closer: answer.Body}
	return &result, whole
}

// fillHead fills head if the answer is short, and otherwise reads once. It returns the
// number of bytes read.
func fillHead(answer *Answer, head []byte) (int, error) {
	if _, ok := bufferableLength(answer.Header); !ok {
		return answer.Body.Read(head)
	}
	return io.ReadFull(answer.Body, head)
}

// eofReader is the empty rest of a body that was read to its end.
type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// prefixedBody is a body whose first part has already been read from its closer.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// copyBody copies the body to w and returns the number of bytes copied. If streamed is
// true, it flushes after each read, so that the parts of an answer of unknown length
// are sent without delay.
func copyBody(w http.ResponseWriter, body io.Reader, streamed bool) (int, error) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	copied := 0
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return copied, writeErr
			}
			copied += n
		}
		if err == io.EOF {
			return copied, nil
		}
		if err != nil {
			return copied, err
		}
		if streamed {
			_ = controller.Flush()
		}
	}
}

// SetOutcome sets the header fields for the outcome of an answer and, if it has one,
// for its reason.
func SetOutcome(header http.Header, answer *Answer) {
	header.Set(htcall.HeaderOutcome, string(answer.Outcome))
	if answer.Reason != htcall.ReasonNone {
		header.Set(htcall.HeaderReason, string(answer.Reason))
	}
}
