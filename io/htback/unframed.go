package htback

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// writeEndTimeout bounds how long the end of a response waits for the end of writing its request.
const writeEndTimeout = time.Second

// isUnframed reports whether only the end of the connection ends the body of a response.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// unframedBody is the body of a response that ends with its connection. The kernel reports a reset
// once: to the writer if the request is still being written, and the reader then gets the end of
// the stream as if the body was whole.
type unframedBody struct {
	io.ReadCloser
	trace *RequestTrace
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.trace.wasReset() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// wasReset waits until the request is not being written any more, and reports whether the upstream
// has reset the connection before that, or it is still being written.
func (t *RequestTrace) wasReset() bool {
	timeout := time.NewTimer(writeEndTimeout)
	defer timeout.Stop()
	select {
	case <-t.writeEnded:
	case <-timeout.C:
		return true
	}
	conn := t.conn.Load()
	return conn != nil && conn.reset.Load()
}
