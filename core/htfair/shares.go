package htfair

import (
	"time"
)

const (
	// useDecay is the time constant with which past sends lose weight. A burst lasts some seconds.
	useDecay = 500 * time.Millisecond
	// usualDecay is the time constant of what counts as the usual load of an account. It is much
	// longer than the bursts that it is compared with.
	usualDecay = time.Minute
	// maxUsualGrowth is the multiple of the usual load of an account that counts for its usual load.
	maxUsualGrowth = 2
	// learnTime is the time after the start in which all load counts as usual.
	learnTime = 5 * time.Second
	// servedDecay is the time constant of the share of calls that are served.
	servedDecay = 10 * time.Second
	// minServedShare is the served share of an account below which it goes first, as a fraction of
	// the served share of all. No account may be served less than a quarter as often as all.
	minServedShare = 0.3
	// minAsked is the number of recent calls from which the served share of an account counts.
	minAsked = 2
	// forgetAfter is the time after its last call after which an account is forgotten.
	forgetAfter = 5 * usualDecay
)

// Group is the calls of one account in one class. The account is empty for calls without one.
type Group struct {
	Class   int // priority; 0 is the most urgent
	Account string
}

// Shares tracks what the groups of one service asked for and got. Costs are the usual work times of
// the calls.
type Shares struct {
	groups  map[Group]*group
	asked   decayingSum // calls of all groups
	served  decayingSum
	usual   decayingSum // seconds of work that all groups asked for
	started time.Time
	swept   time.Time
}

// group is the recent past of a Group.
type group struct {
	use    decayingSum // seconds of work sent to upstreams
	onTime decayingSum // part of use whose answers can be on time
	recent decayingSum // seconds of work asked for, with the weights of use
	usual  decayingSum // the same with those of the usual load
	asked  decayingSum // calls
	served decayingSum
	last   time.Time // of the last call
}

// New returns Shares without a past.
func New(now time.Time) *Shares {
	return &Shares{groups: map[Group]*group{}, started: now, swept: now}
}

// Asked records a call. Callers that come back after a refusal ask only once.
func (s *Shares) Asked(now time.Time, of Group, cost time.Duration) {
	s.forget(now)
	g := s.group(of)
	g.last = now
	g.recent.add(now, useDecay, cost.Seconds())
	counted := cost.Seconds() * s.usualPart(now, g)
	g.usual.add(now, usualDecay, counted)
	g.asked.add(now, servedDecay, 1)
	s.usual.add(now, usualDecay, counted)
	s.asked.add(now, servedDecay, 1)
}

// Sent records that a call was sent to an upstream. First is false if it was sent before, and
// onTime if its answer will be late.
func (s *Shares) Sent(now time.Time, of Group, cost time.Duration, first, onTime bool) {
	g := s.group(of)
	g.use.add(now, useDecay, cost.Seconds())
	if onTime {
		g.onTime.add(now, useDecay, cost.Seconds())
	}
	if first {
		g.served.add(now, servedDecay, 1)
		s.served.add(now, servedDecay, 1)
	}
}

// usualPart returns the part of a call that counts for the usual load of its group. What exceeds
// maxUsualGrowth times the usual load does not count, so that a burst hardly changes what is usual.
func (s *Shares) usualPart(now time.Time, g *group) float64 {
	if now.Sub(s.started) < learnTime {
		return 1
	}
	rate := g.recent.sum(now, useDecay) / weightOf(s.started, now, useDecay)
	return min(1, maxUsualGrowth*s.usualRate(now, g)/max(rate, minUsualRate))
}

func (s *Shares) group(of Group) *group {
	g := s.groups[of]
	if g == nil {
		g = &group{}
		s.groups[of] = g
	}
	return g
}

// known returns a group, or one without a past, which is not kept.
func (s *Shares) known(of Group) *group {
	if g := s.groups[of]; g != nil {
		return g
	}
	return &group{}
}

// forget removes the groups that have not asked for long.
func (s *Shares) forget(now time.Time) {
	if now.Sub(s.swept) < usualDecay {
		return
	}
	s.swept = now
	for of, g := range s.groups {
		if now.Sub(g.last) > forgetAfter {
			delete(s.groups, of)
		}
	}
}

// Use returns what a group got lately as a factor of its usual load: 1 if it gets all that it usually asks for.
func (s *Shares) Use(now time.Time, of Group) float64 {
	g := s.known(of)
	return g.use.sum(now, useDecay) / weightOf(s.started, now, useDecay) / s.usualRate(now, g)
}

// usualRate returns the usual load of a group, in seconds of work a second. It is at least the mean
// of all groups, so that the first calls of a new account are not taken for a multiple of its
// usual load.
func (s *Shares) usualRate(now time.Time, g *group) float64 {
	mean := s.usual.sum(now, usualDecay) / float64(max(len(s.groups), 1))
	rate := max(g.usual.sum(now, usualDecay), mean) / weightOf(s.started, now, usualDecay)
	return max(rate, minUsualRate)
}

// minUsualRate is the least usual load, in seconds of work a second.
const minUsualRate = 1e-6

// starved reports whether a group is served so much less often than all that it goes first.
func (s *Shares) starved(now time.Time, g *group) bool {
	asked, allAsked := g.asked.sum(now, servedDecay), s.asked.sum(now, servedDecay)
	if asked < minAsked {
		return false
	}
	return g.served.sum(now, servedDecay)/asked < minServedShare*s.served.sum(now, servedDecay)/allAsked
}
