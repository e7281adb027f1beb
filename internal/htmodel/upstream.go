package htmodel

import (
	"math"
	"time"
)

// condition holds what determines the speed of an upstream, apart from its load.
type condition struct {
	slots       int
	shiftFactor float64
	noiseFactor float64
	cold        bool
}

func newCondition(slots int) condition {
	return condition{slots: slots, shiftFactor: 1, noiseFactor: 1}
}

// concurrencyLimit returns the number of requests that the upstream can run concurrently
// without slowing down.
func (c condition) concurrencyLimit() int {
	if c.cold {
		return coldLimit
	}
	return c.slots
}

// speed returns the speed of each of n concurrent requests, where 1 is full speed.
func (c condition) speed(n int) float64 {
	base := c.shiftFactor * c.noiseFactor
	switch {
	case n == 0:
		return 0
	case c.cold && n > coldLimit:
		return base * coldOverloadSpeed / float64(n)
	case c.cold:
		return base * coldSpeed
	default:
		return base * math.Min(1, float64(c.slots)/float64(n))
	}
}

// capacity returns the work done per unit of time at the concurrency limit.
func (c condition) capacity() float64 {
	n := c.concurrencyLimit()
	return float64(n) * c.speed(n)
}

// attemptState is the progress of an attempt.
type attemptState int

const (
	sending attemptState = iota
	running
	ended
)

// attempt is one execution of a request, or a probe, on an upstream.
type attempt struct {
	request      *request // nil for a probe
	upstream     *upstream
	sender       int     // entry host
	remaining    float64 // remaining work, in seconds at full speed
	started      time.Duration
	state        attemptState
	runningIndex int // index in upstream.running
	onEnd        func(answer)
}

// answer is the report that an upstream sends when an attempt ends. Its load is stale
// when the sender receives it.
type answer struct {
	workTime time.Duration // time on the upstream
	inFlight int           // at the end of the attempt, which is not counted
	cold     bool
	expired  bool // the deadline passed before the work was done
}

// upstream runs attempts concurrently, with processor sharing beyond its concurrency
// limit.
type upstream struct {
	condition
	index   int
	domain  int
	engine  *engine
	running []*attempt
	updated time.Duration // when the remaining work was last computed
	version uint64        // invalidates scheduled completions
	onEnded func(a *attempt, expired bool)
}

// update applies a change of the condition or of the running attempts. It first credits
// the work done up to now at the old speed, and reschedules the next completion.
func (u *upstream) update(apply func()) {
	done := u.speed(len(u.running)) * (u.engine.now - u.updated).Seconds()
	for _, a := range u.running {
		a.remaining -= done
	}
	u.updated = u.engine.now
	apply()
	u.version++
	if len(u.running) == 0 {
		return
	}
	leastRemaining := math.Inf(1)
	for _, a := range u.running {
		leastRemaining = math.Min(leastRemaining, a.remaining)
	}
	// Rounding up keeps an attempt from ending before its work is done.
	wait := time.Duration(math.Ceil(math.Max(0, leastRemaining) / u.speed(len(u.running)) * float64(time.Second)))
	version := u.version
	u.engine.after(wait, func() {
		if u.version == version {
			u.complete()
		}
	})
}

// start adds an attempt.
func (u *upstream) start(a *attempt) {
	u.update(func() {
		a.started = u.engine.now
		a.state = running
		a.runningIndex = len(u.running)
		u.running = append(u.running, a)
	})
}

// remove removes an attempt from the upstream if it is running, and reports whether it
// was.
func (u *upstream) remove(a *attempt) bool {
	if a.state != running {
		return false
	}
	u.update(func() { u.drop(a) })
	return true
}

func (u *upstream) drop(a *attempt) {
	last := len(u.running) - 1
	u.running[a.runningIndex] = u.running[last]
	u.running[a.runningIndex].runningIndex = a.runningIndex
	u.running[last] = nil
	u.running = u.running[:last]
	a.state = ended
}

// workEpsilon is less than the work of one nanosecond at the lowest speed.
const workEpsilon = 1e-12

// complete ends all attempts whose work is done.
func (u *upstream) complete() {
	var finished []*attempt
	u.update(func() {
		for i := 0; i < len(u.running); {
			if a := u.running[i]; a.remaining <= workEpsilon {
				u.drop(a)
				finished = append(finished, a)
				continue
			}
			i++
		}
	})
	for _, a := range finished {
		u.onEnded(a, false)
	}
}
