package htselect

import (
	"math"
	"slices"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
)

const (
	// crowdShare is the share of busy slots above which an upstream may work slower.
	crowdShare = 0.8
	// goodFactor is how many times the usual work time a good choice may take.
	goodFactor = 1.35
	// coldFactor is how much slower a cold upstream works.
	coldFactor = 2.0
	// distanceShare of the target is added for an upstream in another failure domain,
	// and byteShare of it for each kilobyte of the answer: bytes between failure
	// domains are paid for.
	distanceShare = 0.04
	byteShare     = 0.02
	// faultFactor times the square of the recent faults is added, in units of the target:
	// upstreams in order fail a call now and then, broken ones one after the other.
	faultFactor = 0.3
	// illShare of the target is added for an upstream that calls itself ill. Its word
	// may be wrong either way, so it is used when the others are late too.
	illShare = 2.0
	// silentShare of the target is added for an upstream that did not answer when it was
	// asked. It may have been lost with its failure domain a moment ago.
	silentShare = 1.0
	// jitter spreads the choices of hosts that know the same, as a share of the score.
	jitter = 0.1
	// busyShare of the work time is added for each share of busy slots, so that hosts
	// that see the same upstreams idle spread their calls.
	busyShare = 0.4
	// refusalPause is how long an upstream that refused a call gets none.
	refusalPause = 60 * time.Millisecond
	// shortestWait and longestWait bound what a caller is told to wait.
	shortestWait = 50 * time.Millisecond
	longestWait  = time.Second
)

// Choice is the upstream for one send, with the inputs of the decision.
type Choice struct {
	Upstream       htcatalog.Upstream
	Expected       time.Duration // until the answer
	Work           time.Duration // usual work time of the route
	WorkTimeFactor float64       // factor of the usual work time
	Load           float64
	Age            time.Duration // of the report; negative if there is none
	Cold           bool
	Busy           bool // more busy than where work slows down

	state *upstream
	route *route
}

// Fresh reports whether the choice was made by the present state of the upstream.
func (c *Choice) Fresh() bool { return c.Age >= 0 && c.Age <= freshAge }

// Good reports whether waiting for another upstream would gain nothing, as far as known.
func (c *Choice) Good() bool {
	return !c.Busy && c.Fresh() && float64(c.Expected) <= goodFactor*float64(c.Work)
}

// MaxWait returns how long it is worth to wait for a good choice instead.
func (c *Choice) MaxWait(target time.Duration) time.Duration {
	return min((c.Expected-c.Work)/2, target/3)
}

// Refused says why no upstream was chosen and when a caller may come back.
type Refused struct {
	Reason     htcall.Reason
	RetryAfter time.Duration
	Transient  bool // calls that end soon may make room
}

// ClampRetryAfter returns what a refused caller is told for an expected wait.
func ClampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, shortestWait), longestWait)
}

// Choose returns the upstream of the service with the lowest expected completion time
// for a call on the route with that much time left, or says why there is none. Upstreams
// whose present state is known go before others. Tried upstreams are left out.
func (s *Selector) Choose(now time.Time, r *htcatalog.Route, serviceName string, left time.Duration, tried []string) (*Choice, *Refused) {
	sv := s.services[serviceName]
	if sv == nil || len(sv.upstreams) == 0 {
		return nil, &Refused{Reason: htcall.ReasonNoUpstream, RetryAfter: longestWait}
	}
	state := s.route(r)
	var best *upstream
	bestScore := math.Inf(1)
	bestFresh := false
	full, cold := false, false
	wait := longestWait
	considered, aperture := 0, s.aperture(now, sv)
	for _, u := range sv.upstreams {
		if !s.usable(u) || slices.Contains(tried, u.declared.ID) {
			continue
		}
		fresh := u.fresh(now)
		if considered++; considered > aperture && best != nil && !fresh {
			continue
		}
		if u.cold(now) {
			if next := s.coldNext(now, u, sv.declared); next > 0 {
				cold, wait = true, min(wait, next)
				continue
			}
		}
		load := u.load(now)
		// Calls wait on their host, where the most urgent one goes first and each may still
		// go elsewhere. Some upstreams never answer a request that they can't queue.
		if load >= float64(u.slots()) || now.Before(u.avoid) {
			full = true
			wait = min(wait, time.Duration(state.work.mean*u.speed(now)))
			continue
		}
		score := s.score(now, u, load, r, state) * (1 + jitter*s.rng.Float64())
		if (fresh && !bestFresh) || (fresh == bestFresh && score < bestScore) {
			best, bestScore, bestFresh = u, score, fresh
		}
	}
	wait = max(wait, shortestWait)
	switch {
	case best == nil && full:
		return nil, &Refused{Reason: htcall.ReasonQueueFull, RetryAfter: wait, Transient: true}
	case best == nil && cold:
		return nil, &Refused{Reason: htcall.ReasonColdLimit, RetryAfter: wait, Transient: true}
	case best == nil:
		return nil, &Refused{Reason: htcall.ReasonNoUpstream, RetryAfter: longestWait}
	}
	if queued := best.wait(now, best.load(now), state.work.mean); queued > float64(left) {
		return nil, &Refused{Reason: htcall.ReasonDeadline, RetryAfter: ClampRetryAfter(time.Duration(queued))}
	}
	return s.choice(now, best, state), nil
}

func (s *Selector) choice(now time.Time, u *upstream, state *route) *Choice {
	age := time.Duration(-1)
	if !u.seen.IsZero() {
		age = now.Sub(u.seen)
	}
	load := u.load(now)
	return &Choice{
		Upstream:       u.declared,
		Expected:       time.Duration(u.completion(now, load, state.work.mean)),
		Work:           time.Duration(state.work.mean),
		WorkTimeFactor: u.speed(now),
		Load:           load,
		Age:            age,
		Cold:           u.cold(now),
		Busy:           u.crowded(load),
		state:          u,
		route:          state,
	}
}

// usable reports whether u may get work at all.
func (s *Selector) usable(u *upstream) bool {
	if u.declared.Draining || u.misplaced || s.catalog.DomainsOut[u.declared.Domain] {
		return false
	}
	return !u.report.Down
}

func (u *upstream) slots() int {
	switch {
	case u.report.Slots > 0:
		return u.report.Slots
	case u.declared.Slots > 0:
		return u.declared.Slots
	}
	return 1
}

// wait returns the expected time in the queue of u, in nanoseconds.
func (u *upstream) wait(now time.Time, load, mean float64) float64 {
	slots := float64(u.slots())
	excess := load + 1 - slots
	if excess <= 0 {
		return 0
	}
	return excess / slots * mean * u.speed(now)
}

// crowded reports whether one more call makes the upstream so busy that it may work
// slower.
func (u *upstream) crowded(load float64) bool {
	return load+1 > max(1, crowdShare*float64(u.slots()))
}

// completion returns the expected time until the answer, in nanoseconds.
func (u *upstream) completion(now time.Time, load, mean float64) float64 {
	work := mean * u.speed(now)
	if u.crowded(load) {
		work *= u.service.crowding
	}
	if u.cold(now) {
		work *= coldFactor
	}
	work *= 1 + busyShare*min(1, load/float64(u.slots()))
	return work + u.wait(now, load, mean)
}

// score is the completion time with what speaks against the upstream.
func (s *Selector) score(now time.Time, u *upstream, load float64, r *htcatalog.Route, state *route) float64 {
	target := float64(r.Target)
	score := u.completion(now, load, state.work.mean)
	if u.declared.Domain != s.domain {
		score += target * (distanceShare + byteShare*state.work.bytes/1000)
	}
	if u.report.Unhealthy {
		score += illShare * target
	}
	if u.unanswered(now) {
		score += silentShare * target
	}
	fault := u.fault(now)
	return score + faultFactor*target*fault*fault
}
