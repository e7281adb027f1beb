package htmodel

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htroute"
)

// epoch is the wall time at which a run starts, for the decision code.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	serviceName = "lookups"
	poolName    = "workers"
	retryBurst  = 10.0 // tokens that the retry budget of a host keeps
	maxForwards = 4    // shards that a call is offered to before it is refused
)

// dispatchSettings selects a variant of the design with dispatchers.
type dispatchSettings struct {
	queueLimit int           // of each shard; default htresource.DefaultQueueLimit
	oneShard   bool          // one dispatcher for the whole pool, in place of one per failure domain
	oneCaller  bool          // all calls count as one caller's, so that the queue is in order of deadlines
	coldReport bool          // upstreams are taken to be cold only if they say so
	ruleName   rule          // how entry hosts choose shards
	localGain  float64       // load by which the shard in the host's own failure domain is preferred
	viewAge    time.Duration // time constant with which a view loses its value; default 10 ms
	preOpen    bool          // dispatchers keep a new connection to each upstream ready
	steal      bool          // an idle shard asks the shard with the longest queue for a call
	hedgeAfter time.Duration // lookups without an answer are sent to a second shard after this; 0 is never
	redirect   bool          // a shard without a free slot passes a new call to one that has one
}

// dispatched is the policy with dispatchers. It runs the real decision code:
// htdispatch.Pool in each shard and htroute.Router in each entry host.
type dispatched struct {
	m      *world
	s      dispatchSettings
	shards []*shard
	hosts  []*router
	out    []bool // failure domains known to be out
}

// router is the part of an entry host that forwards calls to shards.
type router struct {
	index  int
	choice chooser
	views  []shardView // by shard; not used by the real router
	budget *htroute.Budget
}

func newDispatched(s dispatchSettings) func(*world) policy {
	return func(m *world) policy {
		if s.viewAge == 0 {
			s.viewAge = viewAge
		}
		p := &dispatched{m: m, s: s, out: make([]bool, m.workload.Domains)}
		for i := range m.workload.Hosts {
			random := rand.New(rand.NewPCG(m.random.Uint64(), uint64(i)))
			h := &router{
				index:  i,
				budget: htroute.NewBudget(htresource.DefaultRetryShare, retryBurst),
				views:  make([]shardView, m.workload.Domains),
			}
			h.choice = htroute.New(random)
			if s.ruleName != ruleReal {
				h.choice = &trialRouter{p: p, h: h, random: random}
			}
			p.hosts = append(p.hosts, h)
		}
		if s.preOpen {
			m.openAhead()
		}
		count := m.workload.Domains
		if s.oneShard {
			count = 1
		}
		for i := range count {
			p.shards = append(p.shards, newShard(p, i))
		}
		return p
	}
}

func (p *dispatched) now() time.Time { return epoch.Add(p.m.now) }

// between returns the one-way latency between two entry hosts.
func (p *dispatched) between(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return p.m.workload.latency(p.m.workload.domainOf(a), p.m.workload.domainOf(b))
}

func (p *dispatched) arrive(r *request) {
	h := p.hosts[r.host]
	h.budget.Earn()
	p.forward(h, &call{request: r, id: strconv.Itoa(r.id)})
}

// targets returns the shards in service.
func (p *dispatched) targets() []htroute.Target {
	var all []htroute.Target
	for _, s := range p.shards {
		if p.s.oneShard || !p.out[s.domain] {
			all = append(all, htroute.Target{Shard: s.name, Domain: domainName(s.domain)})
		}
	}
	return all
}

func domainName(d int) string { return "d" + strconv.Itoa(d) }

// forward sends a call to the shard that the router chooses.
func (p *dispatched) forward(h *router, c *call) {
	target, ok := h.choice.Choose(p.now(), p.targets(), c.tried)
	if !ok {
		p.m.reply(c.request, refused)
		return
	}
	h.choice.Sent(p.now(), target.Shard)
	c.forwards++
	s := p.shard(target.Shard)
	c.shard = s
	if p.s.hedgeAfter > 0 && c.request.idempotent && !c.hedge {
		p.hedge(h, c, s)
	}
	views := p.carry(h)
	p.m.after(p.between(h.index, s.owner), func() {
		if s.lost {
			// The address of the owner refuses connections.
			p.m.after(p.between(s.owner, h.index), func() { p.unreachable(h, c, s) })
			return
		}
		p.hosts[s.owner].merge(views)
		s.offer(c)
	})
}

// unreachable sends a call whose shard has no owner to another one.
func (p *dispatched) unreachable(h *router, c *call, s *shard) {
	h.choice.Failed(p.now(), s.name)
	c.tried = append(c.tried, domainName(s.domain))
	if p.s.oneShard || c.forwards >= maxForwards {
		p.m.reply(c.request, refused)
		return
	}
	p.forward(h, c)
}

// hostChanged tells the shards of a change of their owner.
func (p *dispatched) hostChanged(host int, lost bool) {
	for _, s := range p.shards {
		if lost && s.owner == host {
			s.lose()
		}
	}
}

func (p *dispatched) shard(name string) *shard {
	for _, s := range p.shards {
		if s.name == name {
			return s
		}
	}
	return nil
}

// answered takes in the answer of a call at its entry host.
func (p *dispatched) answered(c *call, s *shard, load htcall.Load, views []shardView) {
	p.hosts[c.request.host].merge(views)
	p.hosts[c.request.host].choice.Seen(p.now(), s.name, load)
	if c.request.answered {
		return
	}
	c.request.answered = true
	p.m.reply(c.request, done)
	if c.twin != nil {
		p.abandon(c.twin)
	}
}

// refusedBy takes in a refusal by a shard. A call that did not run because the
// shard is not in service goes to another one. A call refused for load does so
// only within the retry budget.
func (p *dispatched) refusedBy(c *call, s *shard, reason htcall.Reason, load htcall.Load) {
	h := p.hosts[c.request.host]
	h.choice.Seen(p.now(), s.name, load)
	c.tried = append(c.tried, domainName(s.domain))
	if c.hedge {
		return
	}
	if c.request.ended || c.forwards >= maxForwards {
		p.m.reply(c.request, refused)
		return
	}
	switch reason {
	case htcall.ReasonMoved, htcall.ReasonDomainOut, htcall.ReasonNoUpstream:
		if p.s.oneShard {
			c.tried = nil
		}
	default:
		if p.s.oneShard || !c.request.idempotent || !h.budget.Spend() {
			p.m.reply(c.request, refused)
			return
		}
		p.m.record.retries++
	}
	p.forward(h, c)
}

// hedge sends a lookup to another failure domain if it has no answer after a time
// and the budget allows it.
func (p *dispatched) hedge(h *router, c *call, s *shard) {
	p.m.after(p.s.hedgeAfter, func() {
		if c.request.answered || c.request.ended || c.twin != nil || c.shard != s || !h.budget.Spend() {
			return
		}
		p.m.record.hedges++
		c.twin = &call{request: c.request, id: c.id + "h", twin: c, hedge: true, tried: []string{domainName(s.domain)}}
		p.forward(h, c.twin)
	})
}

// abandon takes a call whose answer nobody needs out of the queue of its shard. A
// call that runs goes on, because a slot whose caller left stays taken until the
// deadline.
func (p *dispatched) abandon(c *call) {
	c.canceled = true
	p.m.after(p.between(c.request.host, c.shard.owner), func() {
		if s := c.shard; s.calls[c.id] == c {
			s.perform(s.pool.Cancel(p.now(), c.id))
		}
	})
}

// domainChanged tells the shards of a change of a failure domain.
func (p *dispatched) domainChanged(domain int, out bool) {
	p.out[domain] = out
	for _, s := range p.shards {
		s.domainChanged(domain, out)
	}
}
