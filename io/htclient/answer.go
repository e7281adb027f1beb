package htclient

import "net/http"

// chargedWriter charges an answer that is written at once to its connection, as long as it is
// being sent.
type chargedWriter struct {
	http.ResponseWriter
	conn    *Conn
	started bool
}

// ChargeAnswers returns a handler whose answers are charged to their connections, and end them if
// newcomers have no room. An answer without room is replaced by 503.
func ChargeAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r); c != nil {
			if c.IsLast() {
				w.Header().Set("Connection", "close")
			}
			w = &chargedWriter{ResponseWriter: w, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// Write implements http.ResponseWriter.
func (w *chargedWriter) Write(p []byte) (int, error) {
	if !w.started && !w.conn.charge(int64(len(p))) {
		w.conn.table.log(errNoAnswerMemory.Error(), w.conn)
		http.Error(w.ResponseWriter, errNoAnswerMemory.Error(), http.StatusServiceUnavailable)
		return 0, errNoAnswerMemory
	}
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *chargedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
