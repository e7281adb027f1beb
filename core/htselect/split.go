package htselect

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornturn/core/htrollout"
)

const (
	// maxSplitCredit bounds the calls to a small share that are saved up while its upstreams
	// can't take them.
	maxSplitCredit = 2.0
	// splitSlowFactor is the factor of the usual work time of the route above which an answer
	// counts as slow in the comparison of two versions.
	splitSlowFactor = 2.5
)

// split divides the calls of a service between the versions of its upstreams while a roll-out
// says so.
type split struct {
	htrollout.Split
	credit   float64 // calls that the target version may get now
	evidence htrollout.Evidence
	canaries []*upstream // of the target version, that get the calls of a small share
	others   int         // upstreams of other versions in service
	pending  []splitSend // in flight
}

// splitSend is a send in flight that is to be judged.
type splitSend struct {
	choice *Choice
	sent   time.Time
	slow   bool // counted as slow already
}

// SetSplits replaces the divisions of calls between versions, by service. The counts of one
// are kept as long as its roll-out is the same.
func (s *Selector) SetSplits(splits map[string]htrollout.Split) {
	for name, sv := range s.services {
		next, ok := splits[name]
		if !ok {
			sv.split = nil
			continue
		}
		before := sv.split
		if before == nil || before.Run != next.Run || before.Target != next.Target {
			sv.split = &split{Split: next, credit: next.Slack}
			sv.arrangeSplit(s)
			continue
		}
		changed := before.Share != next.Share || before.Turn != next.Turn || !slices.Equal(before.Refused, next.Refused)
		before.Split = next
		if changed {
			sv.arrangeSplit(s)
		}
	}
}

// arrangeSplit chooses the canaries. They are so many that each gets as many calls as it would
// if all calls went to the target version, and the same on all hosts.
func (sv *service) arrangeSplit(s *Selector) {
	sp := sv.split
	if sp == nil {
		return
	}
	var targets []*upstream
	sp.others = 0
	for _, u := range sv.upstreams {
		switch {
		case !s.inService(u), slices.Contains(sp.Refused, u.declared.Version):
		case u.declared.Version == sp.Target:
			targets = append(targets, u)
		default:
			sp.others++
		}
	}
	slices.SortFunc(targets, func(a, b *upstream) int { return cmp.Compare(a.ref, b.ref) })
	n := min(len(targets), max(1, int(math.Ceil(sp.Share*float64(len(targets))))))
	sp.canaries = sp.canaries[:0]
	for i := range n {
		sp.canaries = append(sp.canaries, targets[(sp.Turn*n+i)%len(targets)])
	}
}

// versionUse says whether the division of calls lets an upstream get a call.
type versionUse int

const (
	useAsUsual versionUse = iota
	useFirst              // the call is due to the target version
	useNever
)

// splitPlan is what the division of calls of a service says at one moment.
type splitPlan struct {
	split *split
	due   bool // a call is due to the target version
	all   bool // all calls go to the target version
	only  bool // no other version is declared
}

// plan returns what the division of calls says now. It must be cheap without a division.
func (sv *service) plan(s *Selector, now time.Time) splitPlan {
	sp := sv.split
	if sp == nil {
		return splitPlan{}
	}
	p := splitPlan{split: sp, only: sp.others == 0}
	switch {
	case sp.Target == "":
	case sp.Share >= 1:
		p.all = slices.ContainsFunc(sv.upstreams, func(u *upstream) bool {
			return u.declared.Version == sp.Target && s.usable(u) && !u.cold(now)
		})
	default:
		p.due = sp.Share > 0 && sp.credit >= 1
	}
	return p
}

// use returns whether and how an upstream may be used.
func (p *splitPlan) use(u *upstream) versionUse {
	sp := p.split
	if sp == nil {
		return useAsUsual
	}
	version := u.declared.Version
	switch {
	case version == sp.Target && sp.Target != "":
		switch {
		case sp.Share >= 1:
			return useAsUsual
		case (sp.Share > 0 || sp.LastResort) && p.only:
			return useAsUsual
		case p.due && slices.Contains(sp.canaries, u):
			return useFirst
		}
		return useNever
	case slices.Contains(sp.Refused, version):
		if p.only && sp.Target == "" {
			return useAsUsual
		}
		return useNever
	case p.all:
		return useNever
	}
	return useAsUsual
}

// CanaryUnknown reports whether the next call is due to the target version of a roll-out, and
// its upstreams have to be probed before one of them can be chosen.
func (s *Selector) CanaryUnknown(now time.Time, serviceName string) bool {
	sv := s.services[serviceName]
	if sv == nil || sv.split == nil || !sv.plan(s, now).due {
		return false
	}
	unknown := false
	for _, u := range sv.split.canaries {
		if u.fresh(now) {
			return false
		}
		unknown = unknown || s.probeable(now, u) && now.Sub(u.probedAt) >= reprobeAge
	}
	return unknown
}

// isTarget reports whether an upstream is of the version that a roll-out moves calls to.
func (u *upstream) isTarget() bool {
	sp := u.service.split
	return sp != nil && sp.Target != "" && u.declared.Version == sp.Target
}

// countSplitSend counts a send for the share of the target version.
func (u *upstream) countSplitSend(now time.Time, c *Choice) {
	sp := u.service.split
	if sp == nil || sp.Target == "" {
		return
	}
	sp.credit = min(sp.credit+min(sp.Share, 1), max(maxSplitCredit, sp.Slack))
	if u.isTarget() {
		sp.credit = max(sp.credit-1, 0)
	}
	if !slices.Contains(sp.Refused, u.declared.Version) {
		sp.pending = append(sp.pending, splitSend{choice: c, sent: now})
	}
}

// endSplitSend forgets a send that has ended.
func (u *upstream) endSplitSend(c *Choice) {
	if sp := u.service.split; sp != nil {
		sp.pending = slices.DeleteFunc(sp.pending, func(p splitSend) bool { return p.choice == c })
	}
}

// RecordResult counts the end of a send for the comparison of two versions, if a roll-out of
// the service is under way. It must be called before Ended. A send that this host ended early
// tells something only if it was slow by then, and so does an answer of a cold upstream only
// if it failed.
func (s *Selector) RecordResult(now time.Time, c *Choice, end SendEnd) {
	sp := c.state.service.split
	if sp == nil {
		return
	}
	i := slices.IndexFunc(sp.pending, func(p splitSend) bool { return p.choice == c })
	if i < 0 || sp.pending[i].slow {
		return
	}
	slow := sp.pending[i].tooSlow(now)
	switch {
	case end == SendFailed:
		sp.count(c, htrollout.Failed)
	case c.Cold, end == SendAbandoned && !slow:
	case slow:
		sp.count(c, htrollout.Slow)
	default:
		sp.count(c, htrollout.Good)
	}
}

// tooSlow reports whether a send takes much longer than usual on the route.
func (p *splitSend) tooSlow(now time.Time) bool {
	return float64(now.Sub(p.sent)) > splitSlowFactor*float64(p.choice.Work)
}

// count adds the result of a send to the evidence.
func (sp *split) count(c *Choice, result htrollout.Result) {
	side := htrollout.Others
	if c.Upstream.Version == sp.Target {
		side = htrollout.Target
	}
	sp.evidence.Add(c.route.name, side, result)
}

// SendEnd is how a send ended that may have run.
type SendEnd int

// The ends of sends.
const (
	SendAnswered  SendEnd = iota
	SendFailed            // with a failure, or without a valid answer
	SendAbandoned         // this host did not wait for the answer
)

// VersionCounts describes the upstreams of a service by version.
type VersionCounts struct {
	Target         int // upstreams of the target version in service
	TargetWarm     int
	Others         int // upstreams of other versions in service
	OthersInFlight int // calls of this host at upstreams of other versions
}

// VersionCounts counts the upstreams of a service by whether they are of a version.
func (s *Selector) VersionCounts(now time.Time, serviceName, version string) VersionCounts {
	var c VersionCounts
	sv := s.services[serviceName]
	if sv == nil {
		return c
	}
	for _, u := range sv.upstreams {
		if u.declared.Version != version {
			c.OthersInFlight += u.inFlight
			if s.inService(u) {
				c.Others++
			}
			continue
		}
		if s.inService(u) {
			c.Target++
			if !u.cold(now) {
				c.TargetWarm++
			}
		}
	}
	return c
}

// SplitEvidence returns what this host has counted for a roll-out of a service. Sends in flight
// that take too long already count as slow.
func (s *Selector) SplitEvidence(now time.Time, serviceName string, run int64) htrollout.Evidence {
	sv := s.services[serviceName]
	if sv == nil || sv.split == nil || sv.split.Run != run {
		return htrollout.Evidence{}
	}
	sp := sv.split
	for i := range sp.pending {
		if p := &sp.pending[i]; !p.slow && !p.choice.Cold && p.tooSlow(now) {
			p.slow = true
			sp.count(p.choice, htrollout.Slow)
		}
	}
	return sp.evidence
}
