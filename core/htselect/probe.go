package htselect

import (
	"cmp"
	"slices"
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// minAperture is the least number of upstreams of a service that a host considers while
	// at least one of them is usable. With a third of the upstreams slowed down by
	// neighbours, twelve almost always include fast ones, and few connections are needed.
	minAperture = 12
	// apertureCover is the lower bound of the mean number of hosts that consider an
	// upstream, so that no upstream is left without calls.
	apertureCover = 6
	// reprobeAge is the least age of a report, and the least time since the last probe,
	// after which an upstream may be probed again.
	reprobeAge = 25 * time.Millisecond
	// probeJitter randomises the probe targets of each host, as a fraction of the score.
	probeJitter = 0.3
	// minDownPause and maxDownPause bound the backoff before an unresponsive upstream is
	// probed again. The backoff doubles with each failure.
	minDownPause = 100 * time.Millisecond
	maxDownPause = 3 * time.Second
	// probeShare is the fraction of the probe limit that is used, since calls are not
	// spread evenly over the hosts.
	probeShare = 0.75
	// probeBurst is the time for which unused probe tokens accumulate. They are needed
	// under overload, when a host probes most. The limit applies to the mean rate, which
	// saved tokens do not raise. A host starts with the tokens of one second, so that
	// restarts do not raise it either.
	probeBurst = 10 * time.Second
)

// probeBudget is this host's token bucket under the probe limit of all hosts.
type probeBudget struct {
	tokens float64
	since  time.Time
}

// allowance returns the probes per second that this host may send.
func (s *Selector) allowance(now time.Time) float64 {
	return s.probesPerSecond * probeShare * float64(max(len(s.upstreams), 1)) / float64(max(s.group.Size(now), 1))
}

// spendProbe takes the token of one probe. It returns false if no token is left.
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

// aperture returns the number of upstreams of the service that this host considers.
func (s *Selector) aperture(now time.Time, sv *service) int {
	return max(minAperture, apertureCover*len(sv.upstreams)/max(s.group.Size(now), 1))
}

// sortUpstreams sorts the upstreams of a service into the order in which this host
// considers them: first those in its own failure domain, then in a random order specific to
// this host.
func (s *Selector) sortUpstreams(sv *service) {
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

// candidate is an upstream that may be probed, with its score from the latest report.
type candidate struct {
	upstream *upstream
	score    float64
}

// ProbeTargets returns up to n upstreams to probe before a call on the route is sent,
// within the probe limit: those with the best scores and the one that has not been probed
// for the longest time.
func (s *Selector) ProbeTargets(now time.Time, r *htcatalog.Route, serviceName string, tried []string, n int) []htcatalog.Upstream {
	list := s.candidates(now, r, serviceName, tried, n)
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	if n > 1 && len(list) > n {
		// Exploration finds new and recovered upstreams even while good ones are known.
		oldest := slices.MinFunc(list[n-1:], func(a, b candidate) int { return a.upstream.probedAt.Compare(b.upstream.probedAt) })
		list[n-1] = oldest
	}
	var probed []htcatalog.Upstream
	for _, c := range list[:min(n, len(list))] {
		if !s.spendProbe(now) {
			break
		}
		c.upstream.probedAt = now
		probed = append(probed, c.upstream.declared)
	}
	return probed
}

// candidates lists the upstreams that may be probed: those in the aperture, and more if
// fewer than n of these may be probed now.
func (s *Selector) candidates(now time.Time, r *htcatalog.Route, serviceName string, tried []string, n int) []candidate {
	sv := s.services[serviceName]
	if sv == nil {
		return nil
	}
	var list []candidate
	state := s.route(r)
	considered, aperture := 0, s.aperture(now, sv)
	versions := sv.plan(s, now)
	for _, u := range sv.upstreams {
		use := versions.use(u)
		if use == useNever || !s.probeable(now, u) || slices.Contains(tried, u.declared.ID) {
			continue
		}
		if considered++; considered > aperture && len(list) >= n && use != useFirst {
			if versions.due {
				continue // a canary may follow
			}
			break
		}
		if now.Sub(u.reportedAt) < reprobeAge || now.Sub(u.probedAt) < reprobeAge || now.Before(u.avoidUntil) {
			continue
		}
		score := s.score(now, u, u.load(now), r, state) * (1 + probeJitter*s.rng.Float64())
		if use == useFirst {
			score = 0
		}
		list = append(list, candidate{u, score})
	}
	return list
}

// probeable reports whether u could get calls, so that a probe is useful.
func (s *Selector) probeable(now time.Time, u *upstream) bool {
	if !s.inService(u) || u.paused(now) {
		return false
	}
	if u.report.Down && now.Sub(u.reportedAt) < u.downPause {
		return false
	}
	return !u.cold(now) || s.coldWait(now, u, u.service.declared) == 0
}

// ReprobeDue reports whether to probe the upstream of an in-flight call again because its
// report is older than age. It spends a probe token.
func (s *Selector) ReprobeDue(now time.Time, c *Choice, age time.Duration) bool {
	u := c.state
	if now.Sub(u.reportedAt) < age || now.Sub(u.probedAt) < age || u.report.Down || u.paused(now) || !s.spendProbe(now) {
		return false
	}
	u.probedAt = now
	return true
}

// GoodLocal reports whether the upstream is in this host's failure domain and known to be
// fast and not busy, so that no other probe result is needed.
func (s *Selector) GoodLocal(now time.Time, ref htcatalog.Ref) bool {
	u := s.byRef[ref]
	if u == nil || !u.fresh(now) || !s.usable(u) || u.paused(now) || u.report.Unhealthy || u.cold(now) || u.declared.Domain != s.domain {
		return false
	}
	if versions := u.service.plan(s, now); versions.use(u) == useNever || versions.due && versions.use(u) != useFirst {
		return false
	}
	return u.workTimeFactor(now) <= maxGoodFactor && !u.busy(u.load(now)) && u.fault(now) < faultyThreshold
}
