package htselect

import (
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// initialBusySlowdown is the work time factor assumed for busy upstreams until one was
	// measured.
	initialBusySlowdown = 1.5
	// busySlowdownWeight is the weight of the newest measurement in the average.
	busySlowdownWeight = 0.1
	// maxBusySlowdown bounds one measurement, because the upstream may have become slow for
	// another reason.
	maxBusySlowdown = 4.0
)

// addBusySample adds the measured work time of a call at a busy upstream, as a factor of
// the usual work time.
func (sv *service) addBusySample(ratio float64) {
	sv.busySlowdown += busySlowdownWeight * (min(ratio, maxBusySlowdown) - sv.busySlowdown)
	sv.busySlowdown = max(sv.busySlowdown, 1)
}

// EstimateWait estimates the time that a call waits for an upstream that is not busy if
// ahead calls of this host come first. The other hosts are assumed to have as many calls
// waiting. It returns maxRetryAfter if no upstream is usable.
func (s *Selector) EstimateWait(now time.Time, r *htcatalog.Route, serviceName string, ahead int) time.Duration {
	return s.estimateWait(now, s.route(r), serviceName, ahead)
}

func (s *Selector) estimateWait(now time.Time, state *route, serviceName string, ahead int) time.Duration {
	sv := s.services[serviceName]
	if sv == nil {
		return maxRetryAfter
	}
	mean := state.work.mean
	rate := 0.0
	versions := sv.plan(s, now)
	for _, u := range sv.upstreams {
		if versions.use(u) != useNever && s.usable(u) && !u.cold(now) && !u.paused(now) {
			rate += max(1, busyThreshold*float64(u.slots())) / (mean * u.workTimeFactor(now))
		}
	}
	if rate == 0 {
		return maxRetryAfter
	}
	return time.Duration(float64(ahead*s.group.Size(now)+1) / rate)
}

// UsualWorkTime returns the usual work time of a route.
func (s *Selector) UsualWorkTime(r *htcatalog.Route) time.Duration {
	return time.Duration(s.previewRoute(r).work.mean)
}

// minWorkShare is the least fraction of the usual work time in which a call may still
// complete.
const minWorkShare = 0.5

// MinWorkTime returns the shortest time in which a call on the route may complete.
func (s *Selector) MinWorkTime(r *htcatalog.Route) time.Duration {
	return time.Duration(minWorkShare * s.route(r).work.mean)
}
