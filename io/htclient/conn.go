package htclient

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hawthornturn/core/htconn"
	"hawthornturn/core/htmemory"
)

const (
	// FieldBytes is the memory of a short header field in the request, in the call that is
	// made of it and in what is sent to an upstream.
	FieldBytes = 320
	// headSlack is how far net/http reads beyond the end of a header.
	headSlack = 4 << 10
	// pieceBytes is the number of bytes that a peer has to take within htconn.Slack.
	pieceBytes = 64 << 10
	// progressInterval is the time between reports of what a slow peer has taken.
	progressInterval = htconn.Stall / 2
	// noRoomRetryAfter is the Retry-After value of requests without memory, in seconds.
	noRoomRetryAfter = "0.300"
)

// Reasons to refuse a request.
var (
	errHeadTooLarge   = errors.New("request header exceeds the limit")
	errNoHeadMemory   = errors.New("no memory is left for request headers")
	errNoAnswerMemory = errors.New("no memory is left for answers")
)

// Responses to requests whose header is not read to its end.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	noHeadMemory = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: " + noRoomRetryAfter + "\r\nConnection: close\r\n\r\n"
)

// Conn is a connection of a client. A nil Conn has no bounds.
type Conn struct {
	net.Conn
	table     *Table
	entry     *htconn.Conn
	encrypted bool

	// The fields below are used by the reader of the connection, and between its requests.
	headBytes int   // of the request that is being read
	lines     int   // ends of lines in the header of the request
	lastLines int   // ends of lines in the last read
	refused   error // set once a header was refused
	preface   int   // bytes of the HTTP/2 preface that were read, or prefaceDiffers
	greeted   bool  // the TLS greeting of the client was read
	unparsed  int64 // encrypted bytes that were read since the connection was idle

	http2     atomic.Bool
	closing   atomic.Bool
	stalled   atomic.Bool // the peer has not taken a piece in time
	lingering atomic.Bool // it is closed once the peer has received all

	mu       sync.Mutex // guards the fields below
	own      int64      // bytes charged for TLS and HTTP/2
	requests int64      // bytes charged for requests by Admit
	parsed   int64      // bytes of the requests since the connection was idle
	serving  int        // requests that are being served, of an HTTP/2 connection
}

type connKey struct{}

// ConnOf returns the connection of a request, or nil if it has no bounds.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// AwaitBody tells that the body of a request is being read into the memory of a lease.
func (c *Conn) AwaitBody(lease *htmemory.Lease) {
	if c != nil {
		c.table.Begin(c.entry, htconn.Body, lease)
	}
}

// Run tells that a request is being served.
func (c *Conn) Run() {
	if c != nil {
		c.table.Begin(c.entry, htconn.Running, nil)
	}
}

// SendAnswer tells that an answer is being sent from the memory of a lease.
func (c *Conn) SendAnswer(lease *htmemory.Lease) {
	if c != nil {
		c.table.Begin(c.entry, htconn.Answer, lease)
	}
}

// IsLast reports whether the connection is to end with its present answer, because newcomers have
// no room.
func (c *Conn) IsLast() bool { return c != nil && c.table.Crowded() }

// Evict implements htconn.Peer.
func (c *Conn) Evict(phase htconn.Phase) {
	c.closeNow(phase != htconn.Idle)
	c.table.log("gave way to another connection", c)
}

// End implements htconn.Peer.
func (c *Conn) End(phase htconn.Phase) {
	c.table.log("its memory is needed by other calls", c)
	if phase == htconn.Body && !c.encrypted && !c.http2.Load() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	c.closeNow(true)
}

// active prepares for a request that net/http has begun to read. It is refused, unless the handler
// says that a body is read or the request is served.
func (c *Conn) active(conn net.Conn) {
	if c.noticeHTTP2(conn) {
		return // its phase is that of all of its requests
	}
	c.table.Begin(c.entry, htconn.Answer, nil)
}

// idle prepares for the next request, of which a part may have been read already, with a number
// of lines ahead of net/http.
func (c *Conn) idle(linesAhead int, conn net.Conn) {
	c.table.Begin(c.entry, htconn.Idle, nil)
	c.headBytes, c.lines = 0, 0
	switch {
	case c.noticeHTTP2(conn):
	case c.encrypted:
		c.lines = c.linesUnparsed()
	default:
		c.lines = min(c.lastLines, headSlack/len("a:\r\n")) + linesAhead
	}
	c.charge(int64(c.lines) * FieldBytes)
}

// charge charges the header that is being read, beside what else the connection holds.
func (c *Conn) charge(head int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Charge(c.entry, c.own+c.requests+head)
}

// Read implements net.Conn. It fails if the header of a request exceeds its limit or finds no
// memory.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused != nil {
		return 0, c.refused
	}
	n, err := c.Conn.Read(p)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	if n == 0 {
		return n, err
	}
	if c.encrypted {
		c.lastLines = c.linesInRecords(n)
	} else if len(p) > 1 { // net/http reads a single byte to notice the end of a connection
		c.lastLines = bytes.Count(p[:n], []byte{'\n'})
	}
	c.readPreface(p[:n])
	if c.table.Received(c.entry, n) != htconn.Head || c.http2.Load() {
		return n, err
	}
	if c.headBytes > c.headLimit() {
		return 0, c.refuseHead(headTooLarge, errHeadTooLarge)
	}
	c.headBytes += n
	c.lines += c.lastLines
	if !c.charge(int64(c.headBytes + c.lines*FieldBytes)) {
		return 0, c.refuseHead(noHeadMemory, errNoHeadMemory)
	}
	return n, err
}

// refuseHead answers a request whose header is not read further. net/http sends a response of its
// own after errors that are not those of a connection.
func (c *Conn) refuseHead(response string, cause error) error {
	c.refused = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
	c.table.log(cause.Error(), c.Conn)
	if !c.encrypted {
		_, _ = c.Write([]byte(response))
	}
	return c.refused
}

// Write implements net.Conn. It fails if the peer does not take a piece within htconn.Slack.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for first := true; first || written < len(p); first = false {
		n, err := c.writePiece(p[written:min(written+pieceBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writePiece writes a piece and reports what the peer takes of it while it does.
func (c *Conn) writePiece(piece []byte) (int, error) {
	end := time.Now().Add(htconn.Slack)
	for written := 0; ; {
		now := time.Now()
		if err := c.SetWriteDeadline(earliest(now.Add(progressInterval), end)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece[written:])
		written += n
		c.table.Sent(c.entry, n)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if !now.Before(end) {
			c.stalled.Store(true)
			return written, err
		}
	}
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// CloseWrite closes the connection for writing, as net/http does before it closes a connection
// whose client may still be sending.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
