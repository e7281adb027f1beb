package htclient

import (
	"net/http"

	"hawthornturn/core/htmemory"
)

// Request is a request on a connection that may be encrypted or carry several at a time.
type Request struct {
	conn      *Conn // nil if it has no bounds
	bytes     int64 // charged to its HTTP/2 connection
	serving   bool
	answering bool
}

// Admit charges the header of a request that its connection could not see. It reports false if
// there is no memory for it. The caller calls Release when the request has ended.
func Admit(r *http.Request) (*Request, bool) {
	c := ConnOf(r)
	if c == nil || !c.encrypted && !c.http2.Load() {
		return &Request{conn: c}, true
	}
	size, lines := headSize(r)
	bytes := size + lines*FieldBytes
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.http2.Load() { // the header was charged for the most that it could be
		c.parsed += size + max(r.ContentLength, 0)
		return &Request{conn: c}, c.table.Charge(c.entry, c.own+bytes)
	}
	bytes += streamBytes
	if !c.table.Charge(c.entry, c.own+c.requests+bytes) {
		return &Request{conn: c}, false
	}
	c.requests += bytes
	return &Request{conn: c, bytes: bytes}, true
}

// AwaitBody tells that the body of the request is being read into the memory of a lease.
func (q *Request) AwaitBody(lease *htmemory.Lease) {
	if q.conn != nil && !q.setServing(false) {
		q.conn.AwaitBody(lease)
	}
}

// Run tells that the request is being served. It has no effect once the answer is being sent.
func (q *Request) Run() {
	if q.conn == nil {
		return
	}
	q.conn.mu.Lock()
	answering := q.answering
	q.conn.mu.Unlock()
	if !answering {
		q.setServing(true)
		q.conn.Run()
	}
}

// SendAnswer tells that the answer is being sent from the memory of a lease.
func (q *Request) SendAnswer(lease *htmemory.Lease) {
	if q.conn == nil {
		return
	}
	q.conn.mu.Lock()
	q.answering = true
	q.conn.mu.Unlock()
	if !q.setServing(false) {
		q.conn.SendAnswer(lease)
	}
}

// IsLast reports whether the connection is to end with the present answers.
func (q *Request) IsLast() bool { return q.conn.IsLast() }

// setServing sets whether the request is being served, and reports whether any other one on its
// connection is: the connection is then in the phase htconn.Running.
func (q *Request) setServing(serving bool) bool {
	c := q.conn
	if !c.http2.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case serving && !q.serving:
		c.serving++
	case !serving && q.serving:
		c.serving--
	}
	q.serving = serving
	return c.serving > 0
}

// Release gives the memory of the header back.
func (q *Request) Release() {
	if q.conn == nil || q.bytes == 0 {
		return
	}
	q.setServing(false)
	c := q.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests -= q.bytes
	c.table.Charge(c.entry, c.own+c.requests)
}

// headSize returns the bytes of the header of a request and the number of its lines.
func headSize(r *http.Request) (size, lines int64) {
	size, lines = int64(len(r.Method)+len(r.RequestURI)+len(r.Host)+len(" HTTP/1.1\r\nHost: \r\n\r\n")), 2
	for name, values := range r.Header {
		for _, v := range values {
			size += int64(len(name) + len(": \r\n") + len(v))
		}
		lines += int64(len(values))
	}
	return size, lines
}
