package htdispatch

import (
	"math"
	"time"
)

// maxNormalRatio is the highest work time that counts as normal, as a multiple of the
// reference time, which exceeds the mean if the tail is long.
const maxNormalRatio = 3

// slowResponsePenalty is the number of normal responses that a slow response cancels in
// the count required for a higher limit. With exponential work times one response in 20
// is slow, so resetting the count at each slow response would never reach limits above
// about 30.
const slowResponsePenalty = 4

// logLikelihoodRatio returns the log-likelihood ratio, for exponential work times, of a
// work time of ratio units under a mean of factor units against a mean of one unit. One
// long work time is weak evidence and several in a row are strong evidence. A fixed
// limit of 3 units per response would classify one response in 20 as cold under
// ordinary variance.
func logLikelihoodRatio(ratio, factor float64) float64 {
	return ratio*(1-1/factor) - math.Log(factor)
}

// updateEvidence updates the evidence on whether the upstream of f is cold or warm. The
// work time of the response was ratio times the reference time.
func (p *Pool) updateEvidence(now time.Time, f *inFlightRequest, ratio float64) {
	u := f.upstream
	if u.phase == phaseWarm {
		u.coldEvidence = max(u.coldEvidence+logLikelihoodRatio(ratio, p.cfg.ColdFactor), 0)
		if u.coldEvidence >= p.cfg.ColdThreshold {
			u.setCold(now)
			return
		}
	}
	// The response to a request sent before the upstream was last reset to cold is no
	// evidence about the time since then.
	if !u.acceptsRequests() || f.held || f.started.Before(u.coldSince) {
		return
	}
	u.warmEvidence = max(u.warmEvidence-logLikelihoodRatio(ratio, p.cfg.WarmFactor), 0)
	if u.phase == phaseCold && u.warmEvidence >= p.cfg.WarmThreshold {
		u.phase = phaseWarm
	}
	if ratio > maxNormalRatio {
		u.normalResponses = max(u.normalResponses-slowResponsePenalty, 0)
		return
	}
	p.raiseLimit(u, f)
}

// raiseLimit counts a normal response and raises the limit by one once their number
// reaches the limit. Responses count only if the upstream was at least half loaded when
// the request started, because an idle upstream is no evidence for a higher limit.
func (p *Pool) raiseLimit(u *upstream, f *inFlightRequest) {
	if 2*f.inFlightAtStart < u.learnedLimit {
		return
	}
	u.normalResponses++
	limit := u.slots()
	if u.phase == phaseCold {
		limit = min(limit, p.cfg.ColdLimit)
	}
	if u.normalResponses >= u.learnedLimit && u.learnedLimit < limit {
		u.learnedLimit++
		u.normalResponses = 0
	}
}
