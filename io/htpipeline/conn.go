package htpipeline

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"reflect"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htahead"
)

const (
	minBufferBytes = 2 << 10
	// MaxBufferBytes bounds what is read ahead on one connection, and maxAhead the requests in
	// it whose headers have been scanned.
	MaxBufferBytes = 8 << 10
	maxAhead       = 4 * htahead.MaxStarted
)

// Conn is a connection of a caller to an http.Server. Each Read ends at the end of a request, so
// that Conn knows where the next one starts. While the server serves a request without a body, it
// reads one byte in the background to notice that the caller leaves; that Read looks at the
// requests behind it and returns at the end of the connection, or when the buffer is full. Without
// requests sent ahead, a Conn has no buffer and makes the same system calls as the net.Conn.
//
// Once the requests on a connection are unclear, the server alone decides what they are.
type Conn struct {
	net.Conn
	listener *Listener

	// The server never reads concurrently, so Read needs no lock for these.
	buffer   []byte // received and not passed on, except the first passed bytes
	passed   int    // bytes of an incomplete header that were passed on
	bodyLeft int64  // of the request that was passed on last
	safe     bool   // the request that was passed on last is safe
	serving  bool   // a request has been passed on
	unclear  bool   // what follows the requests in ahead
	ended    error  // of the connection, while a request was served

	mu      sync.Mutex // guards the fields below
	ahead   []request  // complete headers at the start of buffer
	turn    request    // of the request that was passed on last
	noStart bool
}

// request is a request that was received ahead.
type request struct {
	head     htahead.Head
	received time.Time
	parsed   *http.Request // set if it was started
	started  Started       // nil if it was not started
}

func newConn(conn net.Conn, listener *Listener) *Conn { return &Conn{Conn: conn, listener: listener} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.ended != nil:
		return 0, c.ended
	case c.bodyLeft > 0:
		return c.readBody(p)
	case len(c.ahead) > 0 || !c.unclear:
		if len(p) == 1 && c.serving && c.passed == 0 {
			return c.readAhead(p)
		}
		return c.readHeader(p)
	}
	return c.readUnclear(p)
}

// readBody passes bytes of a body on, but none behind it.
func (c *Conn) readBody(p []byte) (int, error) {
	if int64(len(p)) > c.bodyLeft {
		p = p[:c.bodyLeft]
	}
	n, err := c.readUnclear(p)
	c.bodyLeft -= int64(n)
	return n, err
}

// readUnclear passes bytes on from the buffer or, if it is empty, from the connection.
func (c *Conn) readUnclear(p []byte) (int, error) {
	c.drop(c.passed)
	if len(c.buffer) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.buffer)
	c.drop(n)
	return n, nil
}

// drop removes bytes from the start of the buffer.
func (c *Conn) drop(n int) {
	c.buffer, c.passed = c.buffer[n:], 0
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
}

// readHeader passes bytes of the next header on, but none behind it.
func (c *Conn) readHeader(p []byte) (int, error) {
	if c.passed < len(c.buffer) {
		return c.passOn(p), nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if len(c.buffer) == 0 {
		return c.inspect(p[:n]), err
	}
	c.buffer = append(c.buffer, p[:n]...)
	return c.passOn(p), err
}

// inspect returns how many bytes that were just received are passed on: those up to the end of
// the header that they begin with. It keeps the others.
func (c *Conn) inspect(data []byte) int {
	head, status := htahead.Scan(data)
	switch status {
	case htahead.Complete:
		if head.End < len(data) {
			c.buffer = bytes.Clone(data[head.End:])
		}
		c.next(head)
		return head.End
	case htahead.Incomplete:
		c.buffer, c.passed = bytes.Clone(data), len(data)
	case htahead.Unclear:
		c.unclear = true
	}
	return len(data)
}

// passOn copies bytes of the first header in the buffer that were not passed on yet.
func (c *Conn) passOn(p []byte) int {
	head, complete := c.first()
	end := len(c.buffer)
	if complete {
		end = head.End
	}
	n := copy(p, c.buffer[c.passed:end])
	c.passed += n
	switch {
	case c.passed < end:
	case complete:
		c.drop(end)
		c.next(head)
	case c.unclear || end >= MaxBufferBytes:
		c.unclear = true
		c.drop(end)
	}
	return n
}

// first returns the header at the start of the buffer if it is complete and clear.
func (c *Conn) first() (htahead.Head, bool) {
	if len(c.ahead) > 0 {
		return c.ahead[0].head, true
	}
	head, status := htahead.Scan(c.buffer)
	c.unclear = status == htahead.Unclear
	return head, status == htahead.Complete
}

// next records that a header has been passed on.
func (c *Conn) next(head htahead.Head) {
	c.serving, c.safe, c.bodyLeft = true, head.Safe, head.BodyBytes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discard(&c.turn)
	c.turn = request{head: head}
	if len(c.ahead) > 0 {
		c.turn, c.ahead = c.ahead[0], c.ahead[1:]
	}
}

// readAhead reads and starts requests behind the one that is served until the server cancels the
// read, the connection ends or the buffer is full.
func (c *Conn) readAhead(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, c.end(err)
		}
		c.buffer = append(make([]byte, 0, minBufferBytes), p[0])
	}
	c.scanAhead()
	c.start()
	for len(c.buffer) < MaxBufferBytes {
		c.grow()
		n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
		if n == 0 {
			return 0, c.end(err)
		}
		c.buffer = c.buffer[:len(c.buffer)+n]
		if c.scanAhead() {
			c.start()
		}
	}
	c.passed = copy(p, c.buffer[:1])
	return c.passed, nil
}

// grow makes room in the buffer, up to MaxBufferBytes.
func (c *Conn) grow() {
	if len(c.buffer) < cap(c.buffer) {
		return
	}
	size := min(max(2*cap(c.buffer), minBufferBytes), MaxBufferBytes)
	c.buffer = append(make([]byte, 0, size), c.buffer...)
}

// scanAhead adds the complete headers in the buffer to ahead, up to maxAhead and to the first one
// with a body. It reports whether it has added any.
func (c *Conn) scanAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, found := 0, false
	for _, r := range c.ahead {
		at += r.head.End
		if r.head.BodyBytes > 0 {
			return false
		}
	}
	for !c.unclear && len(c.ahead) < maxAhead {
		head, status := htahead.Scan(c.buffer[at:])
		if status == htahead.Complete {
			c.ahead = append(c.ahead, request{head: head, received: c.listener.now()})
			at, found = at+head.End, true
		}
		c.unclear = status == htahead.Unclear
		if status != htahead.Complete || head.BodyBytes > 0 {
			break
		}
	}
	return found
}

// start starts requests in their order as long as all in front of them are safe.
func (c *Conn) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.safe || c.noStart {
		return
	}
	at := 0
	for i := range c.ahead {
		r := &c.ahead[i]
		if r.started == nil && !c.startOne(r, c.buffer[at:at+r.head.End], i) {
			return
		}
		at += r.head.End
	}
}

// startOne starts a request and reports whether it did. A number of requests before it were
// started. The caller holds c.mu.
func (c *Conn) startOne(r *request, header []byte, before int) bool {
	if !r.head.Safe || r.head.Fields > htahead.MaxFields {
		return false
	}
	parsed, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(header), len(header)))
	if err != nil || parsed.Close || parsed.ContentLength != 0 || parsed.Body != http.NoBody {
		c.noStart = true // the server refuses it
		return false
	}
	c.listener.started.Add(1) // before Start, so that concurrent ones see each other
	started, ok := c.startSafely(parsed, r.received, before)
	if !ok {
		c.listener.started.Add(-1)
		return false
	}
	r.parsed, r.started = parsed, started
	return true
}

// startSafely starts nothing more on the connection after a panic. It would end the process here:
// net/http recovers from panics of handlers only.
func (c *Conn) startSafely(r *http.Request, received time.Time, before int) (_ Started, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			c.noStart, ok = true, false
			logrus.WithFields(logrus.Fields{"event": "ahead-panicked", "uri": r.RequestURI, "cause": cause, "stack": string(debug.Stack())}).Error("panic while a request was started before its turn")
		}
	}()
	return c.listener.starter.Start(r, received, before)
}

// end ends all requests that were started if the connection has ended. A read that the server
// has canceled is no end.
func (c *Conn) end(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.ended = err
	c.discardAhead()
	c.buffer, c.passed = nil, 0
	return err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.discardAhead()
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, as the server does before it closes a connection
// whose caller may still be sending.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// discardAhead discards the requests that were started and have had no turn. No other is started.
func (c *Conn) discardAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noStart = true
	c.discard(&c.turn)
	for i := range c.ahead {
		c.discard(&c.ahead[i])
	}
}

// discard discards a request if it was started. The caller holds c.mu.
func (c *Conn) discard(r *request) {
	if r.started == nil {
		return
	}
	r.started.Discard()
	r.started, r.parsed = nil, nil
	c.listener.started.Add(-1)
}

// takeTurn returns the turn of the request that was passed on last.
func (c *Conn) takeTurn(r *http.Request) Turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn := Turn{Received: c.turn.received, conn: c}
	switch {
	case c.turn.started == nil:
	case sameRequest(r, c.turn.parsed):
		turn.Started = c.turn.started
		c.turn.started, c.turn.parsed = nil, nil
		c.listener.started.Add(-1)
	default:
		logrus.WithFields(logrus.Fields{"event": "request-differs", "uri": r.RequestURI}).Error("the server read another request than was started before its turn")
		c.discard(&c.turn)
		c.noStart = true
	}
	return turn
}

// sameRequest reports whether the server has read the request that was started.
func sameRequest(r, started *http.Request) bool {
	return r.Method == started.Method && r.RequestURI == started.RequestURI && r.Host == started.Host && reflect.DeepEqual(r.Header, started.Header)
}

// LinesAhead returns the number of ends of lines that were received and not passed on. The server
// calls it between requests only.
func (c *Conn) LinesAhead() int { return bytes.Count(c.buffer[c.passed:], []byte{'\n'}) }

func (c *Conn) last() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.ahead {
		if r.started != nil {
			return false
		}
	}
	c.noStart = true
	return true
}
