package htmodel

import "math"

// ownLoad returns the number of requests that the host itself has in flight on the
// upstream.
func ownLoad(_ *hostAlonePolicy, h *hostState, u int) float64 {
	return float64(h.views[u].ownInFlight)
}

// ownPlusReportedLoad adds the load of the last report to the own load, regardless of
// its age.
func ownPlusReportedLoad(_ *hostAlonePolicy, h *hostState, u int) float64 {
	return float64(h.views[u].ownInFlight + h.views[u].reportedInFlight)
}

// estimatedLoad adds the reported requests of other hosts to the host's own requests
// in flight. As the report ages, its value moves towards the mean over all upstreams.
func estimatedLoad(p *hostAlonePolicy, h *hostState, u int) float64 {
	s := &h.views[u]
	weight := math.Exp(-float64(p.model.now-s.reportedAt) / float64(reportDecay))
	return float64(s.ownInFlight) + h.meanOthers + weight*(float64(s.othersInFlight)-h.meanOthers) + p.penalty(s)
}

// penalty returns the load added to an upstream that recently reported being cold.
func (p *hostAlonePolicy) penalty(s *upstreamView) float64 {
	if s.coldReportedAt > 0 && p.model.now-s.coldReportedAt < coldReportTTL {
		return coldPenalty
	}
	return 0
}

// ownThenEstimated compares own requests in flight and breaks ties by the estimated
// load.
func ownThenEstimated(p *hostAlonePolicy, h *hostState, u int) float64 {
	return float64(h.views[u].ownInFlight)*100 + estimatedLoad(p, h, u)
}

// expectedResponseTime returns the expected response time in seconds: the estimated
// requests in flight per slot, at least 1, times the recent work time.
func expectedResponseTime(p *hostAlonePolicy, h *hostState, u int) float64 {
	n := estimatedLoad(p, h, u) + 1
	return math.Max(1, n/float64(p.model.workload.Slots)) * h.views[u].workTime
}

// cubicLoadTime returns the recent work time multiplied by the third power of the load.
// The power keeps hosts that see the same idle upstream from choosing it all at once.
func cubicLoadTime(p *hostAlonePolicy, h *hostState, u int) float64 {
	n := 1 + float64(h.views[u].ownInFlight)*float64(p.model.workload.Hosts)/4 + float64(h.views[u].othersInFlight)
	return n * n * n * h.views[u].workTime
}
