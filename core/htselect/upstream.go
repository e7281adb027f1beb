package htselect

import (
	"math"
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// faultDecay is the time constant of the decay of faults. A faulty upstream gets no
	// traffic, so only time can clear its faults.
	faultDecay = 3 * time.Second
	// reportDecay is the time constant with which a report of work time and load loses
	// weight. Neighbours on shared machines change the work time about every 300 ms.
	reportDecay = 300 * time.Millisecond
	// freshAge is the age up to which a report counts as the present state. It covers the
	// answer to a probe and the decision that follows.
	freshAge = 60 * time.Millisecond
	// probeAnswerTime is the time within which a working upstream answers a probe. It
	// usually takes a few milliseconds.
	probeAnswerTime = 25 * time.Millisecond
	// unknownWorkTime is the work time assumed for an upstream without a fresh report, in
	// percent of the usual. It is the mean over time of a machine that is four times slower
	// for a third of the time.
	unknownWorkTime = 200.0
)

// upstream is the state of one upstream as known to this host.
type upstream struct {
	declared      htcatalog.Upstream
	service       *service
	ref           htcatalog.Ref
	order         float64 // random rank among the upstreams that this host considers
	report        Observation
	reportedAt    time.Time     // when the report was valid
	inFlight      int           // calls of this host
	remoteCalls   int           // reported calls of other hosts
	probedAt      time.Time     // last probe by this host
	downPause     time.Duration // probe backoff while down
	coldUntil     time.Time
	coldSent      time.Time // last call of this host while the upstream was cold
	avoidUntil    time.Time // no calls until then, after a refusal
	pausedUntil   time.Time // no calls or probes until then, as the upstream has asked
	leaving       bool      // this incarnation announced its leaving
	faults        float64
	faultsAt      time.Time
	addressReused bool // another upstream answers at its address
}

func newUpstream(now time.Time, d htcatalog.Upstream, order float64) *upstream {
	return &upstream{declared: d, ref: d.Ref(), order: order, coldUntil: now.Add(d.ColdLeft), faultsAt: now}
}

// cold reports whether the upstream is in cold start.
func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// reportWeight is the weight of the report at now, from 0 to 1.
func (u *upstream) reportWeight(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(0, now.Sub(u.reportedAt))) / float64(reportDecay))
}

// fresh reports whether the report counts as the present state.
func (u *upstream) fresh(now time.Time) bool {
	return !u.reportedAt.IsZero() && now.Sub(u.reportedAt) <= freshAge
}

// workTimeFactor returns the expected work time as a factor of the usual one.
func (u *upstream) workTimeFactor(now time.Time) float64 {
	reportWeight := u.reportWeight(now)
	if u.report.WorkTimePercent == 0 {
		reportWeight = 0
	}
	return (reportWeight*float64(u.report.WorkTimePercent) + (1-reportWeight)*unknownWorkTime) / 100
}

// load returns the calls that the upstream has now, summed over all hosts.
func (u *upstream) load(now time.Time) float64 {
	return float64(u.inFlight) + float64(u.remoteCalls)*u.reportWeight(now)
}

// unanswered reports whether the last probe was not answered within probeAnswerTime.
func (u *upstream) unanswered(now time.Time) bool {
	return u.probedAt.After(u.reportedAt) && now.Sub(u.probedAt) > probeAnswerTime
}

// fault returns the recent faults after decay, in units of a failed call.
func (u *upstream) fault(now time.Time) float64 {
	if u.faults == 0 {
		return 0
	}
	return u.faults * math.Exp(-float64(now.Sub(u.faultsAt))/float64(faultDecay))
}

func (u *upstream) addFault(now time.Time, w float64) {
	u.faults = u.fault(now) + w
	u.faultsAt = now
}

// observe records a report that was valid at a time. Reports older than the newest one are
// ignored.
func (u *upstream) observe(at time.Time, o Observation) {
	if at.Before(u.reportedAt) {
		return
	}
	if !o.ColdKnown {
		o.Cold = max(0, u.coldUntil.Sub(at))
	}
	u.report = o
	u.reportedAt = at
	u.remoteCalls = max(0, o.Running+o.Waiting-u.inFlight)
	if o.Down {
		u.downPause = min(max(2*u.downPause, minDownPause), maxDownPause)
		return
	}
	u.downPause = 0
	u.coldUntil = at.Add(o.Cold)
}
