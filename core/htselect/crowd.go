package htselect

import (
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// initialCrowding is assumed of how much slower crowded upstreams work until it was
	// measured.
	initialCrowding = 1.5
	// crowdWeight is the weight of the newest measurement.
	crowdWeight = 0.1
	// maxCrowding bounds one measurement: the upstream may have become slow for another
	// reason.
	maxCrowding = 4.0
)

// crowd takes in how many times the usual work time a call took at a crowded upstream.
func (sv *service) crowd(ratio float64) {
	sv.crowding += crowdWeight * (min(ratio, maxCrowding) - sv.crowding)
	sv.crowding = max(sv.crowding, 1)
}

// EstimateWait estimates how long a call waits for an upstream that is not crowded if ahead calls
// of this host come first. The other hosts are assumed to have as many waiting.
func (s *Selector) EstimateWait(now time.Time, r *htcatalog.Route, serviceName string, ahead int) time.Duration {
	sv := s.services[serviceName]
	if sv == nil {
		return longestWait
	}
	mean := s.route(r).work.mean
	rate := 0.0
	for _, u := range sv.upstreams {
		if s.usable(u) && !u.cold(now) {
			rate += max(1, crowdShare*float64(u.slots())) / (mean * u.speed(now))
		}
	}
	if rate == 0 {
		return longestWait
	}
	return time.Duration(float64(ahead*s.group.Size(now)+1) / rate)
}

// UsualWorkTime returns the usual work time of a route.
func (s *Selector) UsualWorkTime(r *htcatalog.Route) time.Duration {
	return time.Duration(s.route(r).work.mean)
}

// shortestShare is the share of the usual work time in which a call may still end.
const shortestShare = 0.5

// MinWorkTime returns the time in which a call on the route may end at best.
func (s *Selector) MinWorkTime(r *htcatalog.Route) time.Duration {
	return time.Duration(shortestShare * s.route(r).work.mean)
}
