package htusage

import (
	"time"

	"hawthornturn/core/htcatalog"
)

// maxLevelAge is how long a host goes by a level without a newer one. A lost hub is replaced
// sooner.
const maxLevelAge = 3 * time.Second

// account is the state of an account on this host.
type account struct {
	name   string
	limit  htcatalog.UsageLimit
	own    bucket // of the calls that this host admitted
	demand rate   // on this host
	// all and timely estimate, over a longer time, the calls and those that can be on time.
	all, timely rate
	count       Count
	told        Count
	last        Count     // as it was told
	repeats     int       // how often last is still to be told again, since it may be lost
	earlier     [4]uint32 // admitted calls as told before, at intervals of earlierInterval
	movedAt     time.Time // when earlier was last moved on
	level       Level
	levelAt     time.Time
	credit      float64 // grows by the share with each call, and shrinks by one with an admitted one
	refused     uint64
}

// levelInForce returns the level of the account, or false if it is not near its limit.
func (a *account) levelInForce(now time.Time) (Level, bool) {
	return a.level, !a.levelAt.IsZero() && now.Sub(a.levelAt) < maxLevelAge
}

// timelyTime is the time constant of the estimate of how many calls can still be on time.
const timelyTime = 2 * time.Second

// share returns the share of the calls that this host admits. Calls of this host that the
// level doesn't count yet reduce it.
func (a *account) share(now time.Time) float64 {
	level, near := a.levelInForce(now)
	if !near {
		return 1
	}
	demand := max(float64(level.Demand), a.demand.value(now))
	if demand <= float64(level.Admit) {
		return 1
	}
	return float64(level.Admit) / demand
}

// shareOf returns the share of the calls that this host admits of those that can be on time, or
// of the others. Those that can be on time go first: otherwise callers that come back take the
// tokens of those that could be served on time, and all are late.
func (a *account) shareOf(now time.Time, late bool) float64 {
	share := a.share(now)
	timely := min(a.timely.value(now)/max(a.all.value(now), 1e-9), 1)
	switch {
	case !late:
		return min(share/max(timely, 1e-9), 1)
	case timely < 1:
		return max(0, share-timely) / (1 - timely)
	}
	return 0
}

// admit decides on a call. Late means that its answer can't be on time.
func (a *account) admit(now time.Time, late bool) bool {
	a.own.refill(now, a.limit)
	a.demand.add(now, 1)
	a.all.add(now, 1)
	if !late {
		a.timely.add(now, 1)
	}
	a.count.Asked++
	a.credit += a.shareOf(now, late)
	if a.credit < 1 || a.own.tokens < 1 {
		a.credit = min(a.credit, 1)
		a.refused++
		return false
	}
	a.credit--
	a.own.tokens--
	a.count.Admitted++
	return true
}

// giveBack returns the token of an admitted call.
func (a *account) giveBack(now time.Time) {
	a.own.refill(now, a.limit)
	a.own.tokens = min(a.own.tokens+1, a.limit.Burst)
	a.count.Admitted--
}

const (
	// earlierInterval is the time between the counts that are kept. The first one is as old as
	// the time until the loss of a hub is known.
	earlierInterval = 200 * time.Millisecond
	// maxRepeats is how often a count is told again.
	maxRepeats = 3
)

// untold returns the count of this host if it has changed since it was last told, or is to be
// told again.
func (a *account) untold(now time.Time) (Count, bool) {
	a.moveOn(now)
	switch {
	case a.count != a.told:
		a.last = a.count
		a.last.NewAsked, a.last.NewAdmitted = a.count.Asked-a.told.Asked, int32(a.count.Admitted-a.told.Admitted)
		a.told, a.repeats = a.count, maxRepeats
	case a.repeats > 0:
		a.repeats--
	default:
		return Count{}, false
	}
	return a.last, true
}

// moveOn moves the earlier counts on.
func (a *account) moveOn(now time.Time) {
	for range min(int(now.Sub(a.movedAt)/earlierInterval), len(a.earlier)) {
		copy(a.earlier[:], a.earlier[1:])
		a.earlier[len(a.earlier)-1], a.movedAt = a.told.Admitted, now
	}
}

// recall makes the account tell another hub which admitted calls the one before may not have
// passed on. It reports whether there are any.
func (a *account) recall(now time.Time) bool {
	a.moveOn(now)
	a.told.Admitted = a.earlier[0]
	for i := range a.earlier {
		a.earlier[i] = a.told.Admitted
	}
	return a.told != a.count
}

// setLimit changes the limit. Tokens beyond the new burst are lost.
func (a *account) setLimit(now time.Time, limit htcatalog.UsageLimit) {
	a.own.refill(now, a.limit)
	a.limit = limit
	a.demand.constant = newRate(now, limit).constant
}

// backlogTime is the time of the demand beyond the limit for which callers that come back are
// spread.
const backlogTime = time.Second

// wait returns the time after which this host, or another one, has a token for a caller that
// is refused now.
func (a *account) wait(now time.Time) time.Duration {
	perSecond := a.limit.PerSecond
	missing := 1 - a.own.tokens
	if level, near := a.levelInForce(now); near {
		excess := max(0, float64(level.Demand)-perSecond) * backlogTime.Seconds()
		missing = max(missing, 1-float64(level.Tokens)+excess)
	}
	return durationOf(max(missing, 1) / perSecond)
}
