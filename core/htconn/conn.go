package htconn

import "time"

// Phase is what happens on a connection.
type Phase int

// Phases of a connection. One in the phase Running is never closed to make room.
const (
	Idle    Phase = iota // no request has begun
	Head                 // a part of a request's header has arrived
	Body                 // the body of a request is awaited
	Running              // the request is being served
	Answer               // the answer is being sent
)

// Progress that a connection has to make. It starts with Slack, each byte adds the time that
// it takes at MinRate, up to Slack, and the time that passes is taken off. Bytes of answers are
// reported in lots, when a part of a kernel buffer is free, so that those of one lot may add more.
const (
	// Slack is the most time that a connection may be behind.
	Slack = 10 * time.Second
	// MinRate is the number of bytes per second at which a connection does not fall behind.
	MinRate = 128 << 10
	// Stall is how far a connection is behind before another one may take its place.
	Stall = 250 * time.Millisecond
)

// Holder holds memory outside of the Table that is free once its request has ended.
type Holder interface {
	Held() int64 // bytes
}

// Peer closes a connection for a Table. Its methods must not block or call the table.
type Peer interface {
	// Evict closes the connection at once.
	Evict(phase Phase)
	// End ends the request on the connection, with a refusal if its body is awaited.
	End(phase Phase)
}

// Conn is one connection in a Table, whose lock guards it.
type Conn struct {
	peer    Peer
	phase   Phase
	due     time.Time     // when its slack is used up
	lot     time.Duration // that bytes of an answer that are reported at once take at MinRate
	bytes   int64         // charged to the table
	holder  Holder        // nil outside of requests
	ended   bool          // its request was ended to free memory
	removed bool          // it is not in the table any more
}

// progress adds the time that n bytes take at MinRate.
func (c *Conn) progress(n int, now time.Time) {
	c.due = c.due.Add(atMinRate(n))
	latest := now.Add(Slack)
	if c.phase == Answer {
		latest = latest.Add(c.lot)
	}
	if c.due.After(latest) {
		c.due = latest
	}
}

// atMinRate returns the time that n bytes take at MinRate.
func atMinRate(n int) time.Duration { return time.Duration(n) * time.Second / MinRate }

// isBehind reports whether the connection may be closed to make room.
func (c *Conn) isBehind(now time.Time) bool {
	return c.phase != Running && c.due.Before(now.Add(Slack-Stall))
}

// held returns the bytes that the request on the connection holds outside of the table.
func (c *Conn) held() int64 {
	if c.holder == nil {
		return 0
	}
	return c.holder.Held()
}
