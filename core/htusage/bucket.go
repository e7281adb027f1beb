package htusage

import (
	"math"
	"time"

	"hawthornturn/core/htcatalog"
)

// bucket is a token bucket. Its tokens are negative after an overshoot.
type bucket struct {
	tokens float64
	at     time.Time // of the last refill
}

// maxDebtTime is the time at the limit that makes up for the largest overshoot. A longer one
// would bind an account after what it did has left the window.
const maxDebtTime = 2 * time.Second

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now time.Time, limit htcatalog.UsageLimit) {
	if now.After(b.at) {
		b.tokens += limit.PerSecond * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = max(min(b.tokens, limit.Burst), -limit.PerSecond*maxDebtTime.Seconds())
}

// newBucket returns the bucket of a limit. Calls that were admitted before the process started
// are not known, so only what was refilled since then is in it.
func newBucket(now, start time.Time, limit htcatalog.UsageLimit) bucket {
	return bucket{tokens: min(limit.Burst, 1+limit.PerSecond*now.Sub(start).Seconds()), at: now}
}

const (
	// minDemandTime and maxDemandTime bound the time constant of estimates of demand. Callers
	// that move, or send more, count within some tenths of a second.
	minDemandTime = 300 * time.Millisecond
	maxDemandTime = 2 * time.Second
	// demandCalls is the number of calls at the limit by which the demand of an account is
	// estimated.
	demandCalls = 2
)

// rate is an estimate of calls a second, with an exponential average.
type rate struct {
	perSecond float64
	at        time.Time
	constant  time.Duration
}

func newRate(now time.Time, limit htcatalog.UsageLimit) rate {
	constant := durationOf(demandCalls / limit.PerSecond)
	return rate{at: now, constant: min(max(constant, minDemandTime), maxDemandTime)}
}

func (r *rate) add(now time.Time, calls float64) {
	r.perSecond = r.value(now) + calls/r.constant.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if !now.After(r.at) {
		return r.perSecond
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/r.constant.Seconds())
}

// durationOf returns a time in seconds as a time.Duration, or the longest one if it does not fit.
func durationOf(seconds float64) time.Duration {
	if nanoseconds := seconds * float64(time.Second); nanoseconds < math.MaxInt64 {
		return time.Duration(nanoseconds)
	}
	return math.MaxInt64
}
