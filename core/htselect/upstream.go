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
	// value. The host that watches an upstream tells changes at once, so an older report
	// mostly still holds.
	reportAge = 1200 * time.Millisecond
	// reportFresh is the age up to which reports count as equally good: a preference
	// for the newest one would send the calls of all hosts to the same upstream.
	reportFresh = 400 * time.Millisecond
	// unknownSpeed is assumed of an upstream without a fresh report, in percent. It is
	// the mean over time of a machine that is four times slower for a third of it.
	unknownSpeed = 200.0
)

// Peer identifies another host.
type Peer uint32

// count is the number of calls that a host has at an upstream.
type count struct {
	calls int
	at    time.Time
}

// countLimit is the age above which what a host told of its calls no longer counts. The
// counts are repeated with each beat.
const countLimit = 700 * time.Millisecond

// upstream is what this host knows of one upstream.
type upstream struct {
	declared  htcatalog.Upstream
	service   *service
	ref       htcatalog.Ref
	report    Observation
	seen      time.Time // when the report was valid last
	inFlight  int       // calls of this host
	others    map[Peer]count
	foreign   int // reported calls that no host told of
	coldUntil time.Time
	coldSent  time.Time // last call of this host while the upstream was cold
	avoid     time.Time // refused a call; gets none until then
	faults    float64
	faultsAt  time.Time
	misplaced bool // another upstream answers at its address
}

func newUpstream(now time.Time, d htcatalog.Upstream) *upstream {
	return &upstream{declared: d, ref: d.Ref(), coldUntil: now.Add(d.ColdLeft), faultsAt: now}
}

// cold reports whether the upstream is in cold start.
func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// trust is the weight of the report at now, from 0 to 1.
func (u *upstream) trust(now time.Time) float64 {
	if u.seen.IsZero() {
		return 0
	}
	age := now.Sub(u.seen) - reportFresh
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(reportAge))
}

// speed returns how long work takes, as a factor of the usual.
func (u *upstream) speed(now time.Time) float64 {
	trust := u.trust(now)
	if u.report.Speed == 0 {
		trust = 0
	}
	return (trust*float64(u.report.Speed) + (1-trust)*unknownSpeed) / 100
}

// load returns the calls that the upstream has now, from all hosts.
func (u *upstream) load(now time.Time) float64 {
	return float64(u.known(now)) + float64(u.foreign)*u.trust(now)
}

// known returns the calls that this host and the others say they have at the upstream.
func (u *upstream) known(now time.Time) int {
	n := u.inFlight
	for _, c := range u.others {
		if now.Sub(c.at) < countLimit {
			n += c.calls
		}
	}
	return n
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
	if !o.ColdTold {
		o.Cold = max(0, u.coldUntil.Sub(at))
	}
	u.report = o
	u.seen = at
	u.foreign = max(0, o.Running+o.Waiting-u.known(at))
	if o.Down {
		return
	}
	u.coldUntil = at.Add(o.Cold)
}
