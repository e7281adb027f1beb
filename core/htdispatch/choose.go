package htdispatch

import (
	"math"
	"time"
)

// slowdownDecay is the time constant of the exponential decay of an upstream's measured
// slowdown: after this time, about a third of it is left.
const slowdownDecay = 30 * time.Millisecond

// maxCandidates bounds the ready upstreams compared for each start. The first items of
// the heap include the upstream with the best stored score, so large shards need no
// more, and shards up to this size are compared completely.
const maxCandidates = 16

// coldPenalty is added to the score of a cold upstream unless it is due for a request.
const coldPenalty = 4

// score returns the expected completion time on u as a multiple of the usual work time;
// lower is better. It excludes the age of requests in flight, which grows with time and
// is added by chooseUpstream.
func (p *Pool) score(u *upstream, now time.Time) float64 {
	load := float64(u.inFlight+1) / float64(max(u.limit(), 1))
	score := (1 + u.currentSlowdown(now)) * (1 + load/4)
	if u.phase == phaseCold && !u.preferred {
		score += coldPenalty
	}
	return score
}

// currentSlowdown returns the excess of the work time on u over the usual one, as a
// multiple of the usual work time, decayed up to now.
func (u *upstream) currentSlowdown(now time.Time) float64 {
	if u.slowdown == 0 {
		return 0
	}
	return u.slowdown * math.Exp(-float64(now.Sub(u.slowdownAt))/float64(slowdownDecay))
}

// oldestAge returns the age of the oldest request in flight on u as a multiple of the
// reference work time of its class.
func (u *upstream) oldestAge(now time.Time) float64 {
	if u.oldest == nil || u.oldest.workTime.mean == 0 {
		return 0
	}
	return float64(now.Sub(u.oldest.started)) / u.oldest.workTime.referenceTime()
}

// chooseUpstream returns the ready upstream with the lowest expected completion time.
func (p *Pool) chooseUpstream(now time.Time) *upstream {
	var best *upstream
	bestScore := math.Inf(1)
	for _, u := range p.ready.items[:min(maxCandidates, p.ready.len())] {
		score := p.score(u, now) + max(u.oldestAge(now)-1, 0)
		if score < bestScore || (score == bestScore && u.lastStart < best.lastStart) {
			best, bestScore = u, score
		}
	}
	return best
}
