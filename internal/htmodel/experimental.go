package htmodel

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htroute"
)

// routingRule selects how an entry host chooses a shard.
type routingRule string

const (
	ruleProduction routingRule = ""       // decided by htroute.Router
	ruleExact      routingRule = "exact"  // current load of all shards; not implementable
	ruleSeen       routingRule = "seen"   // last seen load plus the calls that this host sent since
	ruleAged       routingRule = "aged"   // as ruleSeen, moved towards the average load as the view ages
	ruleTwoShards  routingRule = "two"    // as ruleAged, among two random shards
	ruleGossip     routingRule = "gossip" // as ruleAged; calls and answers carry the views that their sender has of all shards
)

// viewDecay is the time constant with which a view loses weight.
const viewDecay = 10 * time.Millisecond

// failAvoidTime is how long a shard whose owner could not be reached is avoided, as in
// htroute.
const failAvoidTime = 250 * time.Millisecond

// shardChooser is the part of htroute.Router that the model uses.
type shardChooser interface {
	Choose(now time.Time, targets []htroute.Target, excludeDomains []string) (htroute.Target, bool)
	Sent(now time.Time, shard string)
	Seen(now time.Time, shard string, load htcall.Load)
	Failed(now time.Time, shard string)
}

// shardView is the load of a shard as known to a host.
type shardView struct {
	load    htcall.Load
	knownAt time.Duration // when the owner measured it
	sent    int           // calls sent to the shard since
	// avoidUntil is the time until which the shard is avoided.
	avoidUntil time.Duration
}

// gossip reports whether calls and answers carry views of all shards.
func (s dispatcherSettings) gossip() bool {
	return s.rule == ruleGossip || s.steal || s.redirect
}

// attachedViews returns the views that a message from h carries; nil without gossip.
func (p *dispatcherPolicy) attachedViews(h *router) []shardView {
	if !p.settings.gossip() {
		return nil
	}
	return slices.Clone(h.views)
}

// mergeViews replaces each view that is older than the one received.
func (h *router) mergeViews(views []shardView) {
	for i, v := range views {
		if v.knownAt > h.views[i].knownAt {
			h.views[i] = shardView{load: v.load, knownAt: v.knownAt}
		}
	}
}

// experimentalRouter replaces htroute.Router in the variants with another routingRule.
type experimentalRouter struct {
	policy *dispatcherPolicy
	router *router
	rng    *rand.Rand
}

// Sent implements shardChooser.
func (t *experimentalRouter) Sent(_ time.Time, shard string) {
	t.router.views[t.policy.shard(shard).index].sent++
}

// Seen implements shardChooser.
func (t *experimentalRouter) Seen(_ time.Time, shard string, load htcall.Load) {
	s := t.policy.shard(shard)
	sentAt := t.policy.model.now - t.policy.hostLatency(s.owner, t.router.index)
	if v := &t.router.views[s.index]; sentAt >= v.knownAt {
		*v = shardView{load: load, knownAt: sentAt}
	}
}

// Failed implements shardChooser.
func (t *experimentalRouter) Failed(_ time.Time, shard string) {
	t.router.views[t.policy.shard(shard).index].avoidUntil = t.policy.model.now + failAvoidTime
}

// Choose implements shardChooser.
func (t *experimentalRouter) Choose(_ time.Time, targets []htroute.Target, exclude []string) (htroute.Target, bool) {
	var usable []htroute.Target
	for _, v := range targets {
		if !slices.Contains(exclude, v.Domain) && t.router.views[t.policy.shard(v.Shard).index].avoidUntil <= t.policy.model.now {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		usable = targets
	}
	t.rng.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	if t.policy.settings.rule == ruleTwoShards && len(usable) > 2 {
		usable = usable[:2]
	}
	best, bestLoad := -1, math.Inf(1)
	for i, v := range usable {
		if load := t.load(t.policy.shard(v.Shard)); load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return htroute.Target{}, false
	}
	return usable[best], true
}

// load estimates the load of a shard as a multiple of its capacity, less the preference
// for a local shard.
func (t *experimentalRouter) load(s *shard) float64 {
	preference := 0.0
	if s.domain == t.policy.model.workload.domainOf(t.router.index) {
		preference = t.policy.settings.localPreference
	}
	if t.policy.settings.rule == ruleExact && !s.ownerLost {
		return relativeLoad(s.pool.Load(t.policy.now()), 0) - preference
	}
	v := t.router.views[s.index]
	seen := relativeLoad(v.load, v.sent)
	if t.policy.settings.rule == ruleSeen {
		return seen - preference
	}
	average := 0.0
	for _, o := range t.router.views {
		average += relativeLoad(o.load, 0) / float64(len(t.router.views))
	}
	age := float64(t.policy.model.now-v.knownAt) / float64(t.policy.settings.viewDecay)
	own := float64(v.sent) / float64(max(v.load.Capacity, 1))
	return average + own + math.Exp(-age)*(relativeLoad(v.load, 0)-average) - preference
}

// relativeLoad returns the load, including sent more calls, as a multiple of the
// capacity.
func relativeLoad(l htcall.Load, sent int) float64 {
	return float64(l.InFlight+l.Queued+sent) / float64(max(l.Capacity, 1))
}

// updateOwnView sets the view that the owner has of s to the current load.
func (s *shard) updateOwnView() {
	if s.pool == nil || (s.policy.settings.rule == ruleProduction && !s.policy.settings.gossip()) {
		return
	}
	s.policy.hosts[s.owner].views[s.index] = shardView{load: s.pool.Load(s.policy.now()), knownAt: s.policy.model.now}
}

// viewOf returns the load of shard o as known to the owner of s, or zero while o has no
// owner.
func (s *shard) viewOf(o *shard) htcall.Load {
	if o.ownerLost {
		return htcall.Load{}
	}
	if s.policy.settings.rule == ruleExact {
		return o.pool.Load(s.policy.now())
	}
	return s.policy.hosts[s.owner].views[o.index].load
}

// freeSlots returns the number of free slots, or the negated queue length if calls are
// queued.
func freeSlots(l htcall.Load) int {
	if l.Queued > 0 {
		return -l.Queued
	}
	return l.Capacity - l.InFlight
}

// redirect forwards a call that finds no free slot to the shard with the most free
// slots in the view of the owner, and reports whether it did. Each call is redirected
// at most once.
func (s *shard) redirect(c *call) bool {
	if !s.policy.settings.redirect || c.redirected || freeSlots(s.pool.Load(s.policy.now())) > 0 {
		return false
	}
	var best *shard
	most := 0
	for _, o := range s.policy.shards {
		if n := freeSlots(s.viewOf(o)); o != s && !s.policy.domainOut[o.domain] && n > most {
			best, most = o, n
		}
	}
	if best == nil {
		return false
	}
	c.redirected = true
	s.policy.model.record.redirects++
	s.policy.hosts[s.owner].views[best.index].load.InFlight++
	s.policy.model.after(s.policy.hostLatency(s.owner, best.owner), func() { best.offer(c) })
	return true
}

// stealCalls requests one call for each free slot of s, each time from the shard with
// the longest known queue.
func (s *shard) stealCalls() {
	if !s.policy.settings.steal || s.pool == nil {
		return
	}
	for s.pendingSteals < freeSlots(s.pool.Load(s.policy.now())) {
		var from *shard
		longest := 0
		for _, o := range s.policy.shards {
			if n := s.viewOf(o).Queued; o != s && n > longest {
				from, longest = o, n
			}
		}
		if from == nil {
			return
		}
		if s.policy.settings.rule != ruleExact {
			s.policy.hosts[s.owner].views[from.index].load.Queued--
		}
		s.pendingSteals++
		s.policy.model.record.stealRequests++
		delay := s.policy.hostLatency(s.owner, from.owner)
		s.policy.model.after(delay, func() { from.transferOldest(s) })
	}
}

// transferOldest sends the queued call that arrived first to another shard. Without a
// queued call, it sends the current load instead.
func (s *shard) transferOldest(to *shard) {
	if s.ownerLost {
		to.pendingSteals--
		return
	}
	var oldest *call
	for _, c := range s.calls {
		if oldest == nil || c.request.id < oldest.request.id {
			oldest = c
		}
	}
	delay := s.policy.hostLatency(s.owner, to.owner)
	if oldest == nil {
		load := s.pool.Load(s.policy.now())
		at := s.policy.model.now
		s.policy.model.after(delay, func() {
			to.pendingSteals--
			if v := &s.policy.hosts[to.owner].views[s.index]; at > v.knownAt {
				*v = shardView{load: load, knownAt: at}
			}
		})
		return
	}
	s.policy.model.record.stolenCalls++
	s.perform(s.pool.Cancel(s.policy.now(), oldest.id))
	s.policy.model.after(delay, func() {
		to.pendingSteals--
		to.offer(oldest)
	})
}
