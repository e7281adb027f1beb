package htselect

import (
	"math"
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// faultMemory is the time constant with which faults are forgotten. No traffic
	// goes to a faulty upstream, so only time can clear it.
	faultMemory = 3 * time.Second
	// reportAge is the time constant with which a report of speed and load loses its
	// value. Neighbours on shared machines change the speed about every 300 ms.
	reportAge = 300 * time.Millisecond
	// freshAge is the age up to which a report tells the present state. It covers the time
	// in which an upstream that was asked answers, and the decision.
	freshAge = 60 * time.Millisecond
	// answerTime is the time in which an upstream that works says how it is. They answer
	// within a few milliseconds.
	answerTime = 25 * time.Millisecond
	// unknownSpeed is assumed of an upstream without a fresh report, in percent. It is
	// the mean over time of a machine that is four times slower for a third of it.
	unknownSpeed = 200.0
)

// upstream is what this host knows of one upstream.
type upstream struct {
	declared  htcatalog.Upstream
	service   *service
	ref       htcatalog.Ref
	order     float64 // place among the upstreams that this host considers
	report    Observation
	seen      time.Time     // when the report was valid last
	inFlight  int           // calls of this host
	foreign   int           // reported calls of other hosts
	asked     time.Time     // when this host asked last
	downPause time.Duration // in which it is not asked again
	coldUntil time.Time
	coldSent  time.Time // last call of this host while the upstream was cold
	avoid     time.Time // refused a call; gets none until then
	faults    float64
	faultsAt  time.Time
	misplaced bool // another upstream answers at its address
}

func newUpstream(now time.Time, d htcatalog.Upstream, order float64) *upstream {
	return &upstream{declared: d, ref: d.Ref(), order: order, coldUntil: now.Add(d.ColdLeft), faultsAt: now}
}

// cold reports whether the upstream is in cold start.
func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// trust is the weight of the report at now, from 0 to 1.
func (u *upstream) trust(now time.Time) float64 {
	if u.seen.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(0, now.Sub(u.seen))) / float64(reportAge))
}

// fresh reports whether the report tells the present state.
func (u *upstream) fresh(now time.Time) bool {
	return !u.seen.IsZero() && now.Sub(u.seen) <= freshAge
}

// speed returns how long work takes, as a factor of the usual.
func (u *upstream) speed(now time.Time) float64 {
	trust := u.trust(now)
	if u.report.WorkTimePercent == 0 {
		trust = 0
	}
	return (trust*float64(u.report.WorkTimePercent) + (1-trust)*unknownSpeed) / 100
}

// load returns the calls that the upstream has now, from all hosts.
func (u *upstream) load(now time.Time) float64 {
	return float64(u.inFlight) + float64(u.foreign)*u.trust(now)
}

// unanswered reports whether the upstream was asked and has not answered in the time in
// which upstreams usually do.
func (u *upstream) unanswered(now time.Time) bool {
	return u.asked.After(u.seen) && now.Sub(u.asked) > answerTime
}

// fault returns the recent faults, in failed calls.
func (u *upstream) fault(now time.Time) float64 {
	if u.faults == 0 {
		return 0
	}
	return u.faults * math.Exp(-float64(now.Sub(u.faultsAt))/float64(faultMemory))
}

func (u *upstream) addFault(now time.Time, w float64) {
	u.faults = u.fault(now) + w
	u.faultsAt = now
}

// observe takes in a report that was valid at a time.
func (u *upstream) observe(at time.Time, o Observation) {
	if at.Before(u.seen) {
		return
	}
	if !o.ColdKnown {
		o.Cold = max(0, u.coldUntil.Sub(at))
	}
	u.report = o
	u.seen = at
	u.foreign = max(0, o.Running+o.Waiting-u.inFlight)
	if o.Down {
		u.downPause = min(max(2*u.downPause, minDownPause), maxDownPause)
		return
	}
	u.downPause = 0
	u.coldUntil = at.Add(o.Cold)
}
