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
)

// copyBuffer is the size of the buffers that answers are streamed through.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// hopByHop lists the header fields that belong to one connection (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Transfer-Encoding", "Upgrade", "Trailer",
}

// Field name prefixes that only hawthornturn sets.
const (
	publicPrefix   = "Hawthornturn-"
	internalPrefix = "Ht-"
)

// StripHopByHop removes header fields that must not be passed on, including those
// that Connection names.
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

// StripReserved removes the fields that only hawthornturn may set, so that neither a
// caller nor an upstream can forge them.
func StripReserved(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, publicPrefix) || strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
}

// WriteAnswer writes an answer's header, body and trailer. Fields that are already
// set are kept. The header is written once the first part of the body is there, and
// the whole of a short one: until then an answer that breaks off is told as unknown.
// After that the connection is aborted, so that the receiver can't take the part
// for the whole.
func WriteAnswer(w http.ResponseWriter, answer *Answer) {
	answer = begin(answer)
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
		// net/http gives a short answer a length, and then sends no trailer, unless the
		// header was flushed first.
		_ = http.NewResponseController(w).Flush()
	}
	copied, err := copyBody(w, answer.Body, streamed)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if length, known := shortLength(header); known && copied > 0 {
		htassert.That(copied == length, htassert.WholeAnswer, "%d of %d bytes were passed on as a whole answer", copied, length)
	}
	if answer.Trailer == nil {
		return
	}
	for name, values := range answer.Trailer() {
		header[http.TrailerPrefix+name] = values
	}
}

// begin reads the first part of the body, or the whole of a short one. It returns an
// undecided answer if that fails.
func begin(answer *Answer) *Answer {
	if answer.Body == nil {
		return answer
	}
	size := headSize
	if length, ok := shortLength(answer.Header); ok {
		size = length
	}
	head := make([]byte, max(size, 1))
	n, err := readBegin(answer, head)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = answer.Body.Close()
		return UnknownOutcome(htcall.ReasonBroken)
	}
	started := *answer
	rest := io.Reader(answer.Body)
	if errors.Is(err, io.EOF) {
		rest = eofReader{}
	}
	started.Body = &bodyParts{Reader: io.MultiReader(bytes.NewReader(head[:n]), rest), Closer: answer.Body}
	return &started
}

// readBegin fills head if the answer is short, and else reads once.
func readBegin(answer *Answer, head []byte) (int, error) {
	if _, ok := shortLength(answer.Header); !ok {
		return answer.Body.Read(head)
	}
	return io.ReadFull(answer.Body, head)
}

// eofReader is the rest of a body that was read to its end.
type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// bodyParts is a body whose first part was read already.
type bodyParts struct {
	io.Reader
	io.Closer
}

// copyBody copies the body and returns its size. If it is streamed, each part is flushed, so that an
// answer of unknown length is not held back.
func copyBody(w http.ResponseWriter, body io.Reader, streamed bool) (int, error) {
	buffer := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buffer)
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

// SetOutcome writes the outcome and the reason of an answer to header.
func SetOutcome(header http.Header, answer *Answer) {
	header.Set(htcall.HeaderOutcome, string(answer.Outcome))
	if answer.Reason != htcall.ReasonNone {
		header.Set(htcall.HeaderReason, string(answer.Reason))
	}
}
