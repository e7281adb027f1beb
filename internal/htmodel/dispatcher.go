package htmodel

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htroute"
)

// epoch is the wall-clock time passed to the decision code at the start of a run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	serviceName = "lookups"
	poolName    = "workers"
	retryBurst  = 10.0 // maximum tokens in the retry budget of a host
	maxForwards = 4    // maximum number of times a call is forwarded to a shard before it is refused
)

// dispatcherSettings selects a variant of the dispatcher policy.
type dispatcherSettings struct {
	queueLimit       int           // queue limit of each shard; default htresource.DefaultQueueLimit
	singleShard      bool          // one dispatcher for the whole pool instead of one per failure domain
	singleCaller     bool          // all calls count as calls of one caller, so that the queue is ordered by deadline
	coldByReportOnly bool          // upstreams are classified as cold only by their own reports
	rule             routingRule   // how entry hosts choose shards
	localPreference  float64       // amount subtracted from the load of the shard in the failure domain of the host
	viewDecay        time.Duration // time constant with which a view loses weight; default 10 ms
	spareConnections bool          // each dispatcher keeps an unused connection to each upstream open
	steal            bool          // a shard with free slots requests calls from the shard with the longest queue
	hedgeDelay       time.Duration // time without an answer after which a lookup is also sent to a second shard; 0 disables hedging
	redirect         bool          // a shard without a free slot forwards a new call to a shard that has one
}

// dispatcherPolicy is the policy with dispatchers. It runs the production decision code:
// htdispatch.Pool in each shard and htroute.Router in each entry host.
type dispatcherPolicy struct {
	model     *model
	settings  dispatcherSettings
	shards    []*shard
	hosts     []*router
	domainOut []bool // by failure domain: known to be out of service
}

// router is the part of an entry host that forwards calls to shards.
type router struct {
	index   int
	chooser shardChooser
	views   []shardView // by shard; not used by htroute.Router
	budget  *htroute.Budget
}

func newDispatcherPolicy(s dispatcherSettings) func(*model) policy {
	return func(m *model) policy {
		if s.viewDecay == 0 {
			s.viewDecay = viewDecay
		}
		p := &dispatcherPolicy{model: m, settings: s, domainOut: make([]bool, m.workload.Domains)}
		for i := range m.workload.Hosts {
			rng := rand.New(rand.NewPCG(m.rng.Uint64(), uint64(i)))
			h := &router{
				index:  i,
				budget: htroute.NewBudget(htresource.DefaultRetryShare, retryBurst),
				views:  make([]shardView, m.workload.Domains),
			}
			h.chooser = htroute.New(rng)
			if s.rule != ruleProduction {
				h.chooser = &experimentalRouter{policy: p, router: h, rng: rng}
			}
			p.hosts = append(p.hosts, h)
		}
		if s.spareConnections {
			m.enableSpareConnections()
		}
		count := m.workload.Domains
		if s.singleShard {
			count = 1
		}
		for i := range count {
			p.shards = append(p.shards, newShard(p, i))
		}
		return p
	}
}

func (p *dispatcherPolicy) now() time.Time { return epoch.Add(p.model.now) }

// hostLatency returns the one-way latency between two entry hosts.
func (p *dispatcherPolicy) hostLatency(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return p.model.workload.latency(p.model.workload.domainOf(a), p.model.workload.domainOf(b))
}

func (p *dispatcherPolicy) arrive(r *request) {
	h := p.hosts[r.host]
	h.budget.Earn()
	p.forward(h, &call{request: r, id: strconv.Itoa(r.id)})
}

// targets returns the shards whose failure domain is in service. A single shard for
// the whole pool is always included.
func (p *dispatcherPolicy) targets() []htroute.Target {
	var all []htroute.Target
	for _, s := range p.shards {
		if p.settings.singleShard || !p.domainOut[s.domain] {
			all = append(all, htroute.Target{Shard: s.name, Domain: domainName(s.domain)})
		}
	}
	return all
}

func domainName(d int) string { return "d" + strconv.Itoa(d) }

// forward sends a call to the shard that the router chooses. The call is refused if
// there is none.
func (p *dispatcherPolicy) forward(h *router, c *call) {
	target, ok := h.chooser.Choose(p.now(), p.targets(), c.tried)
	if !ok {
		p.model.reply(c.request, refused)
		return
	}
	h.chooser.Sent(p.now(), target.Shard)
	c.forwards++
	s := p.shard(target.Shard)
	c.shard = s
	if p.settings.hedgeDelay > 0 && c.request.idempotent && !c.hedge {
		p.scheduleHedge(h, c, s)
	}
	views := p.attachedViews(h)
	p.model.after(p.hostLatency(h.index, s.owner), func() {
		if s.ownerLost {
			// A killed owner refuses connections.
			p.model.after(p.hostLatency(s.owner, h.index), func() { p.handleUnreachable(h, c, s) })
			return
		}
		p.hosts[s.owner].mergeViews(views)
		s.offer(c)
	})
}

// handleUnreachable forwards a call whose shard has no owner to another shard. The
// call is refused after maxForwards, or if there is only one shard.
func (p *dispatcherPolicy) handleUnreachable(h *router, c *call, s *shard) {
	h.chooser.Failed(p.now(), s.name)
	c.tried = append(c.tried, domainName(s.domain))
	if p.settings.singleShard || c.forwards >= maxForwards {
		p.model.reply(c.request, refused)
		return
	}
	p.forward(h, c)
}

// hostChanged notifies the shards that a killed host owned.
func (p *dispatcherPolicy) hostChanged(host int, lost bool) {
	for _, s := range p.shards {
		if lost && s.owner == host {
			s.handleOwnerLoss()
		}
	}
}

func (p *dispatcherPolicy) shard(name string) *shard {
	for _, s := range p.shards {
		if s.name == name {
			return s
		}
	}
	return nil
}

// handleAnswer processes the answer of a call at its entry host.
func (p *dispatcherPolicy) handleAnswer(c *call, s *shard, load htcall.Load, views []shardView) {
	p.hosts[c.request.host].mergeViews(views)
	p.hosts[c.request.host].chooser.Seen(p.now(), s.name, load)
	if c.request.answered {
		return
	}
	c.request.answered = true
	p.model.reply(c.request, done)
	if c.counterpart != nil {
		p.cancelCall(c.counterpart)
	}
}

// handleRefusal processes a refusal by a shard at the entry host. A call that was
// refused because the shard is not in service goes to another shard. A call that was
// refused because of load is retried only if it is idempotent and the retry budget
// allows it.
func (p *dispatcherPolicy) handleRefusal(c *call, s *shard, reason htcall.Reason, load htcall.Load) {
	h := p.hosts[c.request.host]
	h.chooser.Seen(p.now(), s.name, load)
	c.tried = append(c.tried, domainName(s.domain))
	if c.hedge {
		return
	}
	if c.request.ended || c.forwards >= maxForwards {
		p.model.reply(c.request, refused)
		return
	}
	switch reason {
	case htcall.ReasonMoved, htcall.ReasonDomainOut, htcall.ReasonNoUpstream:
		if p.settings.singleShard {
			c.tried = nil
		}
	default:
		if p.settings.singleShard || !c.request.idempotent || !h.budget.Spend() {
			p.model.reply(c.request, refused)
			return
		}
		p.model.record.retries++
	}
	p.forward(h, c)
}

// scheduleHedge sends a lookup to another failure domain as well if it has no answer
// after hedgeDelay and the retry budget allows it.
func (p *dispatcherPolicy) scheduleHedge(h *router, c *call, s *shard) {
	p.model.after(p.settings.hedgeDelay, func() {
		if c.request.answered || c.request.ended || c.counterpart != nil || c.shard != s || !h.budget.Spend() {
			return
		}
		p.model.record.hedges++
		c.counterpart = &call{request: c.request, id: c.id + "h", counterpart: c, hedge: true, tried: []string{domainName(s.domain)}}
		p.forward(h, c.counterpart)
	})
}

// cancelCall removes a call whose answer is no longer needed from the queue of its
// shard. A running call is not stopped, because the slot of an abandoned call stays
// occupied until the deadline.
func (p *dispatcherPolicy) cancelCall(c *call) {
	c.canceled = true
	p.model.after(p.hostLatency(c.request.host, c.shard.owner), func() {
		if s := c.shard; s.calls[c.id] == c {
			s.perform(s.pool.Cancel(p.now(), c.id))
		}
	})
}

// domainChanged notifies the shards that a failure domain was taken out or returned.
func (p *dispatcherPolicy) domainChanged(domain int, out bool) {
	p.domainOut[domain] = out
	for _, s := range p.shards {
		s.domainChanged(domain, out)
	}
}
