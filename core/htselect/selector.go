package htselect

import (
	"math/rand/v2"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/hthedge"
)

// Group reports the number of hosts and this host's rank among all hosts for a key.
// htgroup.Group implements it.
type Group interface {
	Size(now time.Time) int
	RankAll(key uint64) int
}

// Selector chooses upstreams.
type Selector struct {
	domain    string
	group     Group
	rng       *rand.Rand
	catalog   *htcatalog.Catalog
	upstreams map[string]*upstream
	byRef     map[htcatalog.Ref]*upstream
	services  map[string]*service
	routes    map[string]*route
	leaving   map[Incarnation]time.Time // when incarnations announced their leaving
	retry     RetryLimit

	hedgeShare      float64 // of the work of a service; 0: hedges are not limited by work
	probesPerSecond float64 // per upstream, summed over all hosts
	probes          probeBudget
}

// service is the state of one service on this host.
type service struct {
	declared     htcatalog.Service
	upstreams    []*upstream // in the order in which this host considers them
	budget       *retryBudget
	hedges       *hthedge.Budget // nil if hedges are not limited by work
	busySlowdown float64         // work time factor of busy upstreams
	split        *split          // between versions, or nil
}

// route is the state of one route on this host.
type route struct {
	name         string
	work         *work
	lateness     *hthedge.Lateness // nil if hedges are not limited by work
	usualTimeout float64           // usual timeout of callers, in nanoseconds
	credits      []float64         // of the smooth weighted round robin, by part
}

// Limits bound the sends beyond the first attempt of each call, summed over all hosts.
type Limits struct {
	Retry           RetryLimit
	ProbesPerSecond float64 // per upstream
	// HedgeShare is the extra work that hedges may cause, as a share of the work of a service,
	// from 0 to 1. With 0, hedges are bounded by Retry alone.
	HedgeShare float64
}

// New returns a Selector for a host in a failure domain.
func New(domain string, group Group, limits Limits, rng *rand.Rand) *Selector {
	return &Selector{
		domain:    domain,
		group:     group,
		rng:       rng,
		catalog:   htcatalog.New(nil, nil, nil),
		upstreams: map[string]*upstream{},
		byRef:     map[htcatalog.Ref]*upstream{},
		services:  map[string]*service{},
		routes:    map[string]*route{},
		leaving:   map[Incarnation]time.Time{},
		retry:     limits.Retry,

		hedgeShare:      limits.HedgeShare,
		probesPerSecond: limits.ProbesPerSecond,
	}
}

// Catalog returns the current declarations.
func (s *Selector) Catalog() *htcatalog.Catalog { return s.catalog }

// Apply replaces the declarations. The state of an upstream is kept if its id, start and
// address are unchanged. Upstreams of undeclared services are ignored.
func (s *Selector) Apply(now time.Time, c *htcatalog.Catalog) {
	s.catalog = c
	s.byRef = make(map[htcatalog.Ref]*upstream, len(c.Upstreams))
	kept := make(map[string]*upstream, len(c.Upstreams))
	for _, sv := range s.services {
		sv.upstreams = sv.upstreams[:0]
	}
	for _, d := range c.Upstreams {
		declared := c.Service(d.Service)
		if declared == nil {
			continue
		}
		u := s.upstreams[d.ID]
		if u == nil || u.declared.Started != d.Started || u.declared.Address != d.Address {
			u = newUpstream(now, d, s.rng.Float64())
			_, u.leaving = s.leaving[IncarnationOf(d)]
		}
		u.declared = d
		kept[d.ID] = u
		s.byRef[u.ref] = u
		sv := s.service(now, *declared)
		u.service = sv
		sv.upstreams = append(sv.upstreams, u)
	}
	for _, sv := range s.services {
		s.sortUpstreams(sv)
		sv.arrangeSplit(s)
	}
	s.upstreams = kept
	s.forgetLeaving(now)
}

func (s *Selector) service(now time.Time, d htcatalog.Service) *service {
	sv := s.services[d.Name]
	if sv == nil {
		sv = &service{budget: newRetryBudget(s.retry, now), busySlowdown: initialBusySlowdown}
		if s.LimitsHedges() {
			sv.hedges = hthedge.NewBudget(s.hedgeShare)
		}
		s.services[d.Name] = sv
	}
	sv.declared = d
	return sv
}

func (s *Selector) route(r *htcatalog.Route) *route {
	state := s.routes[r.Name]
	if state == nil {
		state = &route{name: r.Name, work: newWork(r.Target)}
		if s.LimitsHedges() {
			state.lateness = hthedge.NewLateness()
		}
		s.routes[r.Name] = state
	}
	if len(state.credits) != len(r.Parts) {
		state.credits = make([]float64, len(r.Parts))
		for i := range state.credits {
			// Hosts start at random points of the cycle, so that the shares also hold for
			// few requests on each of many hosts.
			state.credits[i] = s.rng.Float64()
		}
	}
	return state
}

// ChooseService chooses the service for a new call on a route by smooth weighted round
// robin and counts the call as a first attempt there. It returns an empty name if the route
// has no parts.
func (s *Selector) ChooseService(now time.Time, r *htcatalog.Route) string {
	if len(r.Parts) == 0 {
		return ""
	}
	state := s.route(r)
	best := nextPart(r.Parts, state.credits)
	name := r.Parts[best].Service
	if sv := s.services[name]; sv != nil {
		sv.budget.earn(now)
	}
	return name
}

// nextPart returns the part of a route that gets the next call, and updates the credits.
func nextPart(parts []htcatalog.Part, credits []float64) int {
	best, total := 0, 0.0
	for _, p := range parts {
		total += float64(p.Weight)
	}
	for i, p := range parts {
		credits[i] += float64(p.Weight) / total
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best]--
	return best
}

// Observe records a report of an upstream that was valid at a time. It reports whether
// in-flight calls at the upstream are to be reconsidered.
func (s *Selector) Observe(at time.Time, o Observation) bool {
	u := s.byRef[o.Upstream]
	if u == nil {
		return false
	}
	differs := o.Differs(u.report) || u.reportedAt.IsZero()
	u.observe(at, o)
	return differs
}

// faultyThreshold is the sum of recent faults from which an upstream counts as faulty. A
// single failed call may be a coincidence.
const faultyThreshold = 1.0

// AddFault adds a failure seen by this or another host. It reports whether the upstream
// becomes faulty because of it. Faults of unknown upstreams or with weights out of range
// are ignored.
func (s *Selector) AddFault(now time.Time, f Fault) bool {
	u := s.byRef[f.Upstream]
	if u == nil || f.Weight <= 0 || f.Weight > FaultError {
		return false
	}
	before := u.fault(now)
	u.addFault(now, f.Weight)
	return before < faultyThreshold && u.faults >= faultyThreshold
}

// Report returns the newest report of an upstream and the time at which it was valid, which
// is zero if there is none.
func (s *Selector) Report(ref htcatalog.Ref) (Observation, time.Time) {
	u := s.byRef[ref]
	if u == nil {
		return Observation{Upstream: ref}, time.Time{}
	}
	return u.report, u.reportedAt
}

// Upstream returns the declaration of an upstream.
func (s *Selector) Upstream(ref htcatalog.Ref) (htcatalog.Upstream, bool) {
	u := s.byRef[ref]
	if u == nil {
		return htcatalog.Upstream{}, false
	}
	return u.declared, true
}
