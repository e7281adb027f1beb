package htselect

import (
	"cmp"
	"slices"
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// minAperture is the number of upstreams of a service that a host considers as long as
	// one of them is good. With a third of them slowed down by neighbours, good ones are
	// among twelve almost always, and few connections are needed.
	minAperture = 12
	// apertureCover is the number of hosts that consider each upstream at least, on
	// average, so that none is left out.
	apertureCover = 6
	// askAge is the age of a report from which an upstream may be asked again.
	askAge = 25 * time.Millisecond
	// askJitter spreads what the hosts ask, as a share of the score.
	askJitter = 0.3
	// minDownPause and maxDownPause bound the time in which an upstream that does not
	// answer is not asked again. The pause doubles with each failure.
	minDownPause = 100 * time.Millisecond
	maxDownPause = 3 * time.Second
	// probeShare of the bound on probes is used, since calls do not come evenly to the
	// hosts.
	probeShare = 0.75
	// probeBurst is the time whose unspent tokens are saved up for overload, in which a host
	// asks most. The bound holds for a mean, which saved tokens do not raise. A host starts
	// with the tokens of one second, so that restarts do not raise it either.
	probeBurst = 10 * time.Second
)

// probeBudget is this host's part of the bound on probes.
type probeBudget struct {
	tokens float64
	since  time.Time
}

// allowance returns the probes a second that this host may send.
func (s *Selector) allowance(now time.Time) float64 {
	return s.probesPerSecond * probeShare * float64(max(len(s.upstreams), 1)) / float64(max(s.group.Size(now), 1))
}

// spendProbe takes the token of one probe.
func (s *Selector) spendProbe(now time.Time) bool {
	rate := s.allowance(now)
	b := &s.probes
	if b.since.IsZero() {
		b.since = now.Add(-time.Second)
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.since).Seconds(), rate*probeBurst.Seconds())
	b.since = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// aperture returns how many upstreams of the service this host considers.
func (s *Selector) aperture(now time.Time, sv *service) int {
	return max(minAperture, apertureCover*len(sv.upstreams)/max(s.group.Size(now), 1))
}

// arrange sorts the upstreams of a service into the order in which this host considers
// them: those of its failure domain first, then in an order of its own.
func (s *Selector) arrange(sv *service) {
	slices.SortFunc(sv.upstreams, func(a, b *upstream) int {
		if near := a.declared.Domain == s.domain; near != (b.declared.Domain == s.domain) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.order, b.order)
	})
}

// candidate is an upstream that may be asked, with its score by what is known of it.
type candidate struct {
	upstream *upstream
	score    float64
}

// ProbeTargets returns up to n upstreams to ask for their state before a call on the route is
// sent, within the bound on probes: the most promising ones, and the one that was not
// asked for the longest time.
func (s *Selector) ProbeTargets(now time.Time, r *htcatalog.Route, serviceName string, tried []string, n int) []htcatalog.Upstream {
	list := s.candidates(now, r, serviceName, tried, n)
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	if n > 1 && len(list) > n {
		// New upstreams and returned ones are found although good ones are known.
		explored := slices.MinFunc(list[n-1:], func(a, b candidate) int { return a.upstream.asked.Compare(b.upstream.asked) })
		list[n-1] = explored
	}
	var asked []htcatalog.Upstream
	for _, c := range list[:min(n, len(list))] {
		if !s.spendProbe(now) {
			break
		}
		c.upstream.asked = now
		asked = append(asked, c.upstream.declared)
	}
	return asked
}

// candidates lists the upstreams that may be asked: those that this host considers, and
// more if fewer than n of these may be asked now.
func (s *Selector) candidates(now time.Time, r *htcatalog.Route, serviceName string, tried []string, n int) []candidate {
	sv := s.services[serviceName]
	if sv == nil {
		return nil
	}
	var list []candidate
	state := s.route(r)
	considered, aperture := 0, s.aperture(now, sv)
	for _, u := range sv.upstreams {
		if !s.askable(now, u) || slices.Contains(tried, u.declared.ID) {
			continue
		}
		if considered++; considered > aperture && len(list) >= n {
			break
		}
		if now.Sub(u.seen) < askAge || now.Sub(u.asked) < askAge || now.Before(u.avoid) {
			continue
		}
		score := s.score(now, u, u.load(now), r, state) * (1 + askJitter*s.rng.Float64())
		list = append(list, candidate{u, score})
	}
	return list
}

// askable reports whether it may help to ask u.
func (s *Selector) askable(now time.Time, u *upstream) bool {
	if u.declared.Draining || u.misplaced || s.catalog.DomainsOut[u.declared.Domain] {
		return false
	}
	if u.report.Down && now.Sub(u.seen) < u.downPause {
		return false
	}
	return !u.cold(now) || s.coldNext(now, u, u.service.declared) == 0
}

// ReprobeDue reports whether the upstream of a call under way is to be asked again, because
// what is known of it is older than age.
func (s *Selector) ReprobeDue(now time.Time, c *Choice, age time.Duration) bool {
	u := c.state
	if now.Sub(u.seen) < age || now.Sub(u.asked) < age || u.report.Down || !s.spendProbe(now) {
		return false
	}
	u.asked = now
	return true
}

// GoodLocal reports whether the upstream is in this host's failure domain, known to be fast
// and not busy, so that there is no need to hear of others.
func (s *Selector) GoodLocal(now time.Time, ref htcatalog.Ref) bool {
	u := s.byRef[ref]
	if u == nil || !u.fresh(now) || u.report.Down || u.report.Unhealthy || u.cold(now) || u.declared.Domain != s.domain {
		return false
	}
	return u.speed(now) <= goodFactor && !u.crowded(u.load(now)) && u.fault(now) < avoidFault
}
