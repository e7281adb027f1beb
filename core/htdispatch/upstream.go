package htdispatch

import (
	"time"

	"hawthornturn/core/htresource"
)

// phase determines how many requests an upstream may get.
type phase string

const (
	phaseCold     phase = "cold"     // at most Config.ColdLimit requests
	phaseWarm     phase = "warm"     // up to its slots, as far as responses have raised the learned limit
	phaseDown     phase = "down"     // no requests until a probe succeeds
	phaseDraining phase = "draining" // no requests; the upstream reports that it is draining
)

// upstream is the dispatcher's state of one upstream.
type upstream struct {
	declared         htresource.Upstream
	undeclared       bool // removed or not declared yet; kept while slots are occupied
	phase            phase
	learnedLimit     int // limit of requests in flight that responses have justified
	reportedSlots    int // slots that the upstream last reported; 0 if unknown
	inFlight         int // occupied slots, including held ones
	normalResponses  int // normal responses since learnedLimit last changed, less the penalties for slow ones
	coldSince        time.Time
	warmEvidence     float64 // log-likelihood ratio of warm against cold since the last reset, never below zero
	coldEvidence     float64 // log-likelihood ratio of cold against warm, never below zero
	slowdown         float64 // recent work time as a multiple of the usual, less one
	slowdownAt       time.Time
	backoffUntil     time.Time
	backoff          time.Duration
	preferred        bool // cold and due for a request
	lastStart        uint64
	lastActivity     time.Time          // last response, probe result or start
	lastResponse     time.Time          // last response or successful probe; not a start
	awaitingResponse []*inFlightRequest // expired requests with overdue responses; their slots stay occupied until the upstream responds
	oldest           *inFlightRequest
	newest           *inFlightRequest
	probeTokens      tokenBucket
	probing          bool
	probeStarted     time.Time
	nextCheck        time.Time
	readyScore       float64
	heapPositions    [2]int
}

// IDs of the heaps that contain an upstream.
const (
	readyHeap = iota
	nextCheckHeap
)

func (u *upstream) heapPosition(heapID int) *int { return &u.heapPositions[heapID] }

// before orders the ready upstreams by score, best first, then by least recent start.
func (u *upstream) before(o *upstream) bool {
	if u.readyScore != o.readyScore {
		return u.readyScore < o.readyScore
	}
	return u.lastStart < o.lastStart
}

// upstreamByNextCheck orders upstreams by the time of their next check.
type upstreamByNextCheck struct{ *upstream }

func (d upstreamByNextCheck) before(o upstreamByNextCheck) bool {
	return d.nextCheck.Before(o.nextCheck)
}

// acceptsRequests reports whether u may get new requests, regardless of free slots.
func (u *upstream) acceptsRequests() bool {
	return !u.undeclared && !u.declared.Leaving && (u.phase == phaseCold || u.phase == phaseWarm)
}

// slots returns the declared slots, or the reported slots if these are fewer.
func (u *upstream) slots() int {
	if u.reportedSlots > 0 {
		return min(u.declared.Slots, u.reportedSlots)
	}
	return u.declared.Slots
}

// limit returns the maximum number of requests in flight on u.
func (u *upstream) limit() int { return min(u.learnedLimit, u.slots()) }

// occupiedSlots returns the number of occupied slots. A pending probe counts as one, so
// a cold upstream with a limit of one request gets none while it is probed.
func (u *upstream) occupiedSlots() int {
	if u.probing {
		return u.inFlight + 1
	}
	return u.inFlight
}

// capacityShare returns the number of slots that u adds to the capacity of the shard.
func (u *upstream) capacityShare() int {
	if !u.acceptsRequests() {
		return 0
	}
	return u.limit()
}

// setCold resets u to cold start with a limit of one request.
func (u *upstream) setCold(now time.Time) {
	u.phase = phaseCold
	u.learnedLimit = 1
	u.normalResponses = 0
	u.warmEvidence = 0
	u.coldEvidence = 0
	u.coldSince = now
}

// setColdIfServing resets u to cold start unless it is down or draining.
func (u *upstream) setColdIfServing(now time.Time) {
	if u.phase == phaseCold || u.phase == phaseWarm {
		u.setCold(now)
	}
}

// setDown puts u into the phase p, in which it gets no requests.
func (u *upstream) setDown(now time.Time, p phase) {
	u.setCold(now)
	u.phase = p
	u.learnedLimit = 0
}

// link appends f to the list of requests whose slots are not held, oldest first.
func (u *upstream) link(f *inFlightRequest) {
	f.prev = u.newest
	if u.newest != nil {
		u.newest.next = f
	} else {
		u.oldest = f
	}
	u.newest = f
}

// unlink removes f from the list; it does nothing if f is not in it.
func (u *upstream) unlink(f *inFlightRequest) {
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

// tokenBucket is a token bucket for one token that starts empty. It stores the time of
// the next token instead of a fraction, so it accumulates no rounding error.
type tokenBucket struct {
	interval time.Duration
	created  time.Time
	next     time.Time
	taken    int64
}

func newTokenBucket(perSecond float64, now time.Time) tokenBucket {
	interval := time.Duration(float64(time.Second)/perSecond) + 1
	return tokenBucket{interval: interval, created: now, next: now.Add(interval)}
}

func (b *tokenBucket) take(now time.Time) bool {
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(b.interval)
	b.taken++
	return true
}
