package htdispatch

import (
	"time"

	"hawthornturn/core/htresource"
)

// phase says how much an upstream is trusted with.
type phase string

const (
	phaseCold     phase = "cold"     // at most the cold limit
	phaseWarm     phase = "warm"     // up to its slots, as proved by answers
	phaseDown     phase = "down"     // nothing until a probe works
	phaseDraining phase = "draining" // nothing; says of itself that it drains
)

// upstream is what the dispatcher knows of one upstream.
type upstream struct {
	declared   htresource.Upstream
	gone       bool // no longer declared; kept while slots are taken
	phase      phase
	allowed    int
	reported   int // slots that the upstream last reported, or 0
	inFlight   int // taken slots, with held ones
	good       int // answers in a row in normal time since allowed last changed
	coldSince  time.Time
	warmth     float64 // log-likelihood of warm against cold since the last setback
	coldness   float64 // log-likelihood of cold against warm, never below zero
	slowness   float64 // recent work time in units of the usual, less one
	slowAt     time.Time
	pausedTill time.Time
	pause      time.Duration
	favoured   bool // cold, and due to get a request
	lastUse    uint64
	lastSign   time.Time // last answer, probe result or start
	alive      time.Time // last time at which the upstream itself answered anything
	silent     []*flight // flights whose answers were overdue and whose time has passed without a sign of life
	oldest     *flight
	newest     *flight
	bucket     bucket
	probing    bool
	probeSince time.Time
	due        time.Time
	key        float64
	places     [2]int
}

// Heaps that hold an upstream.
const (
	readyHeap = iota
	dueHeap
)

func (u *upstream) place(slot int) *int { return &u.places[slot] }

// before orders the ready upstreams, best first.
func (u *upstream) before(o *upstream) bool {
	if u.key != o.key {
		return u.key < o.key
	}
	return u.lastUse < o.lastUse
}

// due orders upstreams by the time at which they need attention.
type due struct{ *upstream }

func (d due) before(o due) bool { return d.due.Before(o.due) }

// accepts reports whether u may get new work at all.
func (u *upstream) accepts() bool {
	return !u.gone && !u.declared.Leaving && (u.phase == phaseCold || u.phase == phaseWarm)
}

// slots returns the declared slots, or fewer if the upstream reported fewer.
func (u *upstream) slots() int {
	if u.reported > 0 {
		return min(u.declared.Slots, u.reported)
	}
	return u.declared.Slots
}

// limit returns how many requests may be in flight on u.
func (u *upstream) limit() int { return min(u.allowed, u.slots()) }

// busy returns the taken slots. A probe is work too, so a cold upstream that is
// being probed gets no request.
func (u *upstream) busy() int {
	if u.probing {
		return u.inFlight + 1
	}
	return u.inFlight
}

// share is what u adds to the capacity of the shard.
func (u *upstream) share() int {
	if !u.accepts() {
		return 0
	}
	return u.limit()
}

func (u *upstream) setCold(now time.Time) {
	u.phase = phaseCold
	u.allowed = 1
	u.good = 0
	u.warmth = 0
	u.coldness = 0
	u.coldSince = now
}

// lower puts u into cold start unless it may get no work anyway.
func (u *upstream) lower(now time.Time) {
	if u.phase == phaseCold || u.phase == phaseWarm {
		u.setCold(now)
	}
}

func (u *upstream) setDown(now time.Time, p phase) {
	u.setCold(now)
	u.phase = p
	u.allowed = 0
}

func (u *upstream) link(f *flight) {
	f.prev = u.newest
	if u.newest != nil {
		u.newest.next = f
	} else {
		u.oldest = f
	}
	u.newest = f
}

func (u *upstream) unlink(f *flight) {
	if f.prev != nil {
		f.prev.next = f.next
	} else if u.oldest == f {
		u.oldest = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else if u.newest == f {
		u.newest = f.prev
	}
	f.prev, f.next = nil, nil
}

// bucket is a token bucket of one token that starts empty. It is exact: tokens are
// kept as the time at which the next one is there.
type bucket struct {
	interval time.Duration
	since    time.Time
	next     time.Time
	taken    int64
}

func newBucket(perSecond float64, now time.Time) bucket {
	interval := time.Duration(float64(time.Second)/perSecond) + 1
	return bucket{interval: interval, since: now, next: now.Add(interval)}
}

func (b *bucket) take(now time.Time) bool {
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(b.interval)
	b.taken++
	return true
}
