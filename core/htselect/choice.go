package htselect

import (
	"math"
	"slices"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
)

const (
	// busyThreshold is the fraction of busy slots above which an upstream may work slower.
	busyThreshold = 0.8
	// maxGoodFactor is the largest expected time of a good choice, as a factor of the usual
	// work time.
	maxGoodFactor = 1.35
	// coldFactor is the work time factor of a cold upstream.
	coldFactor = 2.0
	// remotePenalty is the fraction of the target that is added to the score of an upstream
	// in another failure domain, and remoteBytePenalty the fraction for each kilobyte of
	// the answer, because traffic between failure domains is billed.
	remotePenalty     = 0.04
	remoteBytePenalty = 0.02
	// faultPenalty, multiplied by the square of the recent faults and by the target, is
	// added to the score. The square separates working upstreams, which fail a call now and
	// then, from broken ones, which fail one call after the other.
	faultPenalty = 0.3
	// unhealthyPenalty is the fraction of the target that is added for an upstream whose
	// health check fails. The check may be wrong either way, so the upstream is still used
	// when the others are late too.
	unhealthyPenalty = 2.0
	// unansweredPenalty is the fraction of the target that is added for an upstream that
	// did not answer its last probe in time. It may just have been lost with its failure
	// domain.
	unansweredPenalty = 1.0
	// scoreJitter spreads the choices of hosts that have the same reports, as a fraction of
	// the score.
	scoreJitter = 0.1
	// loadPenalty is the fraction of the work time that is added in proportion to the busy
	// slots, so that hosts that see the same upstreams idle spread their calls.
	loadPenalty = 0.4
	// refusalPause is the time for which an upstream that refused a call gets no more
	// calls.
	refusalPause = 60 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After time that a caller gets.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// Choice is the upstream chosen for one send, with the inputs of the decision.
type Choice struct {
	Upstream       htcatalog.Upstream
	Expected       time.Duration // until the answer
	Work           time.Duration // usual work time of the route
	WorkTimeFactor float64       // expected work time as a factor of the usual one
	Load           float64
	Age            time.Duration // of the report; negative if there is none
	Cold           bool
	Busy           bool // one more call may slow it down

	state *upstream
	route *route
}

// Fresh reports whether the choice used a fresh report of the upstream.
func (c *Choice) Fresh() bool { return c.Age >= 0 && c.Age <= freshAge }

// Good reports whether, by the known reports, waiting for another upstream would not help.
func (c *Choice) Good() bool {
	return !c.Busy && c.Fresh() && float64(c.Expected) <= maxGoodFactor*float64(c.Work)
}

// MaxWait returns how long it pays to wait for a good choice instead of using c.
func (c *Choice) MaxWait(target time.Duration) time.Duration {
	return min((c.Expected-c.Work)/2, target/3)
}

// Refused is the reason why no upstream was chosen and the time after which the caller may
// retry.
type Refused struct {
	Reason     htcall.Reason
	RetryAfter time.Duration
	Transient  bool // capacity may become free soon, so the call may wait
}

// ClampRetryAfter bounds an expected wait to the range of Retry-After times.
func ClampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Choose returns the upstream of the service with the lowest score, which is based on the
// expected completion time of a call on the route, or the reason why none is chosen: none
// is usable, or the expected wait exceeds the time left. Upstreams with a fresh report go
// before others. Tried upstreams are left out.
func (s *Selector) Choose(now time.Time, r *htcatalog.Route, serviceName string, left time.Duration, tried []string) (*Choice, *Refused) {
	sv := s.services[serviceName]
	if sv == nil || len(sv.upstreams) == 0 {
		return nil, &Refused{Reason: htcall.ReasonNoUpstream, RetryAfter: maxRetryAfter}
	}
	return s.choose(now, r, s.route(r), sv, left, tried, s.rng.Float64, func(*upstream, Verdict, float64) {})
}

// choose is Choose with the state of the route and the service, the source of jitter, and a
// function that is called for each upstream with its verdict and, if it is a candidate, its score.
func (s *Selector) choose(
	now time.Time, r *htcatalog.Route, state *route, sv *service, left time.Duration, tried []string,
	jitter func() float64, visit func(u *upstream, v Verdict, score float64),
) (*Choice, *Refused) {
	var best *upstream
	bestScore := math.Inf(1)
	bestFresh, bestFirst := false, false
	versions := sv.plan(s, now)
	full, cold := false, false
	wait := maxRetryAfter
	var pauseEnd time.Time // of the first upstream that has asked for a pause
	considered, aperture := 0, s.aperture(now, sv)
	for _, u := range sv.upstreams {
		use := versions.use(u)
		if use == useNever {
			visit(u, VerdictVersion, 0)
			continue
		}
		if !s.usable(u) || slices.Contains(tried, u.declared.ID) {
			visit(u, s.unusableVerdict(u), 0)
			continue
		}
		fresh, first := u.fresh(now), use == useFirst
		if considered++; considered > aperture && best != nil && !fresh && !first {
			visit(u, VerdictAperture, 0)
			continue
		}
		if u.cold(now) {
			if next := s.coldWait(now, u, sv.declared); next > 0 {
				cold, wait = true, min(wait, next)
				visit(u, VerdictCold, 0)
				continue
			}
		}
		if u.paused(now) {
			if pauseEnd.IsZero() || u.pausedUntil.Before(pauseEnd) {
				pauseEnd = u.pausedUntil
			}
			visit(u, VerdictPaused, 0)
			continue
		}
		load := u.load(now)
		// Calls wait on their host, which serves the most urgent first and may still choose
		// another upstream. Some upstreams never answer a request that they can't queue.
		if load >= float64(u.slots()) || now.Before(u.avoidUntil) {
			full = true
			wait = min(wait, time.Duration(state.work.mean*u.workTimeFactor(now)))
			visit(u, u.fullVerdict(now), 0)
			continue
		}
		if first && u.busy(load) {
			visit(u, VerdictBusy, 0)
			continue // a call must not wait for the comparison of two versions
		}
		score := s.score(now, u, load, r, state) * (1 + scoreJitter*jitter())
		visit(u, VerdictCandidate, score)
		better := score < bestScore
		switch {
		case fresh != bestFresh:
			better = fresh
		case first != bestFirst:
			better = first
		}
		if better || best == nil {
			best, bestScore, bestFresh, bestFirst = u, score, fresh, first
		}
	}
	wait = max(wait, minRetryAfter)
	switch {
	case best == nil && full:
		return nil, &Refused{Reason: htcall.ReasonQueueFull, RetryAfter: wait, Transient: true}
	case best == nil && cold:
		return nil, &Refused{Reason: htcall.ReasonColdLimit, RetryAfter: wait, Transient: true}
	case best == nil && !pauseEnd.IsZero():
		pause := pauseEnd.Sub(now)
		return nil, &Refused{Reason: htcall.ReasonRefused, RetryAfter: pause, Transient: pause < minRetryAfter}
	case best == nil:
		return nil, &Refused{Reason: htcall.ReasonNoUpstream, RetryAfter: maxRetryAfter}
	}
	if queued := best.wait(now, best.load(now), state.work.mean); queued > float64(left) {
		return nil, &Refused{Reason: htcall.ReasonDeadline, RetryAfter: ClampRetryAfter(time.Duration(queued))}
	}
	return s.choice(now, best, state), nil
}

func (s *Selector) choice(now time.Time, u *upstream, state *route) *Choice {
	age := time.Duration(-1)
	if !u.reportedAt.IsZero() {
		age = now.Sub(u.reportedAt)
	}
	load := u.load(now)
	return &Choice{
		Upstream:       u.declared,
		Expected:       time.Duration(u.completion(now, load, state.work.mean)),
		Work:           time.Duration(state.work.mean),
		WorkTimeFactor: u.workTimeFactor(now),
		Load:           load,
		Age:            age,
		Cold:           u.cold(now),
		Busy:           u.busy(load),
		state:          u,
		route:          state,
	}
}

// usable reports whether u may get calls at all.
func (s *Selector) usable(u *upstream) bool {
	return s.inService(u) && !u.report.Down
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

// wait returns the expected queueing time at u, in nanoseconds.
func (u *upstream) wait(now time.Time, load, mean float64) float64 {
	slots := float64(u.slots())
	excess := load + 1 - slots
	if excess <= 0 {
		return 0
	}
	return excess / slots * mean * u.workTimeFactor(now)
}

// busy reports whether one more call may slow the upstream down.
func (u *upstream) busy(load float64) bool {
	return load+1 > max(1, busyThreshold*float64(u.slots()))
}

// completion returns the expected time until the answer, in nanoseconds.
func (u *upstream) completion(now time.Time, load, mean float64) float64 {
	work := mean * u.workTimeFactor(now)
	if u.busy(load) {
		work *= u.service.busySlowdown
	}
	if u.cold(now) {
		work *= coldFactor
	}
	work *= 1 + loadPenalty*min(1, load/float64(u.slots()))
	return work + u.wait(now, load, mean)
}

// score returns the completion time plus the penalties of the upstream, in nanoseconds;
// lower is better.
func (s *Selector) score(now time.Time, u *upstream, load float64, r *htcatalog.Route, state *route) float64 {
	target := float64(r.Target)
	score := u.completion(now, load, state.work.mean)
	if u.declared.Domain != s.domain {
		score += target * (remotePenalty + remoteBytePenalty*state.work.bytes/1000)
	}
	if u.report.Unhealthy {
		score += unhealthyPenalty * target
	}
	if u.unanswered(now) {
		score += unansweredPenalty * target
	}
	fault := u.fault(now)
	return score + faultPenalty*target*fault*fault
}
