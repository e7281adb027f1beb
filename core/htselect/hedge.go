package htselect

import (
	"time"

	"hawthornturn/core/hthedge"
)

// LimitsHedges reports whether operators have limited the extra work of hedges.
func (s *Selector) LimitsHedges() bool { return s.hedgeShare > 0 }

// HedgeBudget returns the budget of a service for hedges, or nil if the service is unknown or
// hedges are not limited.
func (s *Selector) HedgeBudget(serviceName string) *hthedge.Budget {
	sv := s.services[serviceName]
	if sv == nil {
		return nil
	}
	return sv.hedges
}

// LateAfter returns the time after its send at which a call is late, by the recent calls of
// its route. Hedges must be limited.
func (s *Selector) LateAfter(c *Choice) time.Duration {
	return c.route.lateness.After(max(c.Expected, c.Work))
}

// Overtaken records that a call was canceled after some time because a second send answered
// first.
func (s *Selector) Overtaken(c *Choice, after time.Duration) {
	if c.route.lateness != nil {
		c.route.lateness.Add(after, max(c.Expected, c.Work))
	}
}

// HedgeUpstream returns the state of a chosen upstream on which a hedge depends.
func (s *Selector) HedgeUpstream(now time.Time, c *Choice) hthedge.Upstream {
	return hthedge.Upstream{
		Good:      c.Good(),
		Cold:      c.Cold,
		Faulty:    c.state.fault(now) >= faultyThreshold,
		Unhealthy: c.state.report.Unhealthy,
	}
}

// EarnHedges records the work of an answer, of which the service earns its share for hedges.
func (s *Selector) EarnHedges(now time.Time, c *Choice, took time.Duration) {
	if !s.LimitsHedges() {
		return
	}
	c.state.service.hedges.Earn(now, took)
	c.route.lateness.Add(took, max(c.Expected, c.Work))
}
