package htdispatch

import (
	"math"
	"time"
)

// normalFactor bounds what counts as normal work time, in units of the usual.
const normalFactor = 3

// slowPrice is how many normal answers a slow one takes back on the way to a higher
// limit. One answer in 20 is slow if work times are exponential, so a rule that
// starts again at each slow answer would never reach limits above about 30.
const slowPrice = 4

// evidence returns how much more likely a work time of ratio units is if the mean
// is factor units than if it is one unit, as the logarithm of the quotient for
// exponential work times. One long answer is weak evidence and several in a row are
// strong evidence. A fixed bound of 3 units per answer would take one answer in 20
// for cold under ordinary variance.
func evidence(ratio, factor float64) float64 {
	return ratio*(1-1/factor) - math.Log(factor)
}

// judge takes in the work time of an answer, ratio units, as evidence about u.
func (p *Pool) judge(now time.Time, f *flight, ratio float64) {
	u := f.upstream
	if u.phase == phaseWarm {
		u.coldness = max(u.coldness+evidence(ratio, p.cfg.ColdFactor), 0)
		if u.coldness >= p.cfg.ColdThreshold {
			u.setCold(now)
			return
		}
	}
	// An answer to a request that was sent before the setback says nothing about
	// the time after it.
	if !u.accepts() || f.held || f.started.Before(u.coldSince) {
		return
	}
	u.warmth = max(u.warmth-evidence(ratio, p.cfg.WarmFactor), 0)
	if u.phase == phaseCold && u.warmth >= p.cfg.WarmThreshold {
		u.phase = phaseWarm
	}
	if ratio > normalFactor {
		u.good = max(u.good-slowPrice, 0)
		return
	}
	p.grow(u, f)
}

// grow counts a normal answer and raises the limit by one after as many of them as
// the limit. Answers count only if the upstream was at least half full, since an
// idle upstream proves nothing about higher limits.
func (p *Pool) grow(u *upstream, f *flight) {
	if 2*f.level < u.allowed {
		return
	}
	u.good++
	limit := u.slots()
	if u.phase == phaseCold {
		limit = min(limit, p.cfg.ColdLimit)
	}
	if u.good >= u.allowed && u.allowed < limit {
		u.allowed++
		u.good = 0
	}
}
