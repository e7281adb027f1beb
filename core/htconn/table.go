package htconn

import (
	"slices"
	"sync"
	"time"
)

// Limits bound the connections of a Table.
type Limits struct {
	Connections int   // open at a time
	Bytes       int64 // charged to all of them; 0: not bounded
	BaseBytes   int64 // charged to each open connection
}

// Sizes in bytes of each of a connection's two kernel buffers.
const (
	roomyBuffer   = 128 << 10
	mediumBuffer  = 32 << 10
	CrowdedBuffer = 16 << 10
)

// crowdedTime is how long a Table is crowded after it has refused a connection.
const crowdedTime = time.Second

// Table holds the open connections of a listener. It is safe for concurrent use.
type Table struct {
	limits Limits
	now    func() time.Time

	mu     sync.Mutex // guards the fields below and all connections
	conns  map[*Conn]struct{}
	bytes  int64
	counts Counts
	// crowded is when the table stops being crowded.
	crowded time.Time
}

// Counts are the numbers of connections of a Table.
type Counts struct {
	Open    int
	Bytes   int64 // charged to the open connections
	Refused int64 // since the start, that were closed at once
	Evicted int64 // since the start, that were closed, or their requests ended, to make room
}

// New returns a Table without connections.
func New(limits Limits, now func() time.Time) *Table {
	return &Table{limits: limits, now: now, conns: map[*Conn]struct{}{}}
}

// Open adds a connection, or returns nil if there is no room for it. Another connection may be
// closed to make room.
func (t *Table) Open(peer Peer) *Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c := &Conn{peer: peer, due: now.Add(Slack)}
	if len(t.conns) >= t.limits.Connections && !t.closeOne(now, c) || !t.charge(c, t.limits.BaseBytes, now) {
		t.counts.Refused++
		t.crowded = now.Add(crowdedTime)
		return nil
	}
	t.conns[c] = struct{}{}
	return c
}

// Crowded reports whether a connection was refused a short time ago. Others are then to end with
// their present requests, since ones that always have another request never give way.
func (t *Table) Crowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now().Before(t.crowded)
}

// Close removes a connection.
func (t *Table) Close(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(c)
}

func (t *Table) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	t.bytes -= c.bytes
	delete(t.conns, c)
}

// Begin starts a phase of a connection. The holder holds the memory of its request; it is nil
// outside of requests.
func (t *Table) Begin(c *Conn, phase Phase, holder Holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.phase, c.holder = phase, holder
	c.due = t.now().Add(Slack)
}

// Received records that n bytes have arrived and returns the phase, which is Head once a
// request has begun.
func (t *Table) Received(c *Conn, n int) Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if c.phase == Idle {
		c.phase, c.due = Head, now.Add(Slack)
	}
	c.progress(n, now)
	return c.phase
}

// Sent records that n bytes have been sent.
func (t *Table) Sent(c *Conn, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.progress(n, t.now())
}

// Charge sets the bytes that a connection holds beyond BaseBytes. It reports false if there
// is no room for them, also after others that are behind were closed.
func (t *Table) Charge(c *Conn, bytes int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !c.removed && t.charge(c, t.limits.BaseBytes+bytes, t.now())
}

func (t *Table) charge(c *Conn, bytes int64, now time.Time) bool {
	more := bytes - c.bytes
	for more > 0 && t.limits.Bytes > 0 && t.bytes+more > t.limits.Bytes {
		if !t.closeOne(now, c) {
			return false
		}
	}
	t.bytes += more
	c.bytes = bytes
	return true
}

// Reclaim ends requests that are behind until those that end hold n bytes or more outside of
// the table, and reports whether they do. The bytes are free once these requests have ended.
func (t *Table) Reclaim(n int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var behind []*Conn
	available := int64(0)
	for c := range t.conns {
		if held := c.held(); held > 0 && c.isBehind(now) {
			behind = append(behind, c)
			available += held
		}
	}
	if available < n {
		return false
	}
	slices.SortFunc(behind, func(a, b *Conn) int { return a.due.Compare(b.due) })
	for _, c := range behind {
		if n <= 0 {
			break
		}
		n -= c.held()
		if !c.ended {
			c.ended = true
			t.counts.Evicted++
			c.peer.End(c.phase)
		}
	}
	return true
}

// closeOne closes the connection that is the furthest behind, other than the one for which it
// makes room.
func (t *Table) closeOne(now time.Time, except *Conn) bool {
	var last *Conn
	for c := range t.conns {
		if c != except && c.isBehind(now) && (last == nil || c.due.Before(last.due)) {
			last = c
		}
	}
	if last == nil {
		return false
	}
	t.remove(last)
	t.counts.Evicted++
	last.peer.Evict(last.phase)
	return true
}

// Buffer returns the size in bytes of each kernel buffer of a new connection. It falls as the
// table fills.
func (t *Table) Buffer(c *Conn) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := CrowdedBuffer
	switch open := len(t.conns); {
	case open <= t.limits.Connections/16:
		size = roomyBuffer
	case open <= t.limits.Connections/4:
		size = mediumBuffer
	}
	// Linux doubles the size, and lets a writer go on when a third of that is free.
	c.lot = atMinRate(2 * size / 3)
	return size
}

// Counts returns the present numbers.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	counts.Open, counts.Bytes = len(t.conns), t.bytes
	return counts
}
