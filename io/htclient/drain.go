package htclient

import (
	"net/http"
	"time"
)

// drainTimeout bounds the time in which the rest of the body of a refused request is read, so
// that its connection can be used again.
const drainTimeout = 500 * time.Millisecond

// BoundDrain bounds the time in which net/http reads the rest of the body of a request that is
// refused. It reads nothing more if the connection is to be closed. Without a body, net/http already
// waits for the next request, and a deadline would end the contexts of all that follow.
func BoundDrain(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody {
		return
	}
	deadline := time.Now()
	if w.Header().Get("Connection") != "close" {
		deadline = deadline.Add(drainTimeout)
	}
	// Without support for deadlines, as in tests of the handler, there is no connection.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}
