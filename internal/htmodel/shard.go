package htmodel

import (
	"cmp"
	"math"
	"strconv"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

// handoverDelay is the time for which a shard has no owner during a planned handover: a
// view change in the table service and a release message.
const handoverDelay = 20 * time.Millisecond

// call is a request that entry hosts and shards forward.
type call struct {
	request     *request
	id          string
	forwards    int
	tried       []string // failure domains that refused the call or were unreachable
	shard       *shard   // to which it was sent last by the entry host
	counterpart *call    // the hedge of this call, or the original call of this hedge
	hedge       bool
	canceled    bool
	redirected  bool // forwarded by a shard without a free slot
}

// shard is a dispatcher: the production state machine and an adapter to the model.
type shard struct {
	policy        *dispatcherPolicy
	name          string
	domain        int // failure domain of the owner
	owner         int // entry host
	pool          *htdispatch.Pool
	upstreams     []htresource.Upstream
	index         int
	calls         map[string]*call // queued calls by ID
	pendingSteals int              // requested calls that have not arrived
	tickVersion   uint64           // invalidates scheduled ticks
	frozen        bool             // between two owners in a planned handover
	ownerLost     bool             // the owner was killed
}

func newShard(p *dispatcherPolicy, domain int) *shard {
	s := &shard{
		policy: p,
		name:   htview.PoolShard(poolName, domainName(domain)).String(),
		index:  domain,
		domain: domain,
		owner:  domain, // the host with this index is in this domain
		calls:  map[string]*call{},
	}
	for _, u := range p.model.upstreams {
		if p.settings.singleShard || u.domain == domain {
			s.upstreams = append(s.upstreams, htresource.Upstream{
				Name:    strconv.Itoa(u.index),
				Address: "192.0.2." + strconv.Itoa(u.index+1) + ":80",
				Domain:  domainName(u.domain),
				Slots:   u.slots,
			})
		}
	}
	s.pool = s.newPool()
	s.perform(s.pool.SetUpstreams(p.now(), s.upstreams, false))
	return s
}

func (s *shard) newPool() *htdispatch.Pool {
	coldThreshold := 0.0 // the default
	if s.policy.settings.coldByReportOnly {
		coldThreshold = math.Inf(1)
	}
	return htdispatch.New(htdispatch.Config{
		ColdThreshold: coldThreshold,
		Shard:         s.name,
		ColdLimit:     coldLimit,
		QueueLimit:    cmp.Or(s.policy.settings.queueLimit, htresource.DefaultQueueLimit) * s.queueScale(),
		ProbesPerSec:  probeRate,
	}, s.policy.now())
}

// queueScale returns the factor for the queue limit: a single shard for the whole pool
// has the limits of all failure domains together.
func (s *shard) queueScale() int {
	if s.policy.settings.singleShard {
		return s.policy.model.workload.Domains
	}
	return 1
}

// offer passes a call to the state machine. A call that reaches a killed owner is lost.
func (s *shard) offer(c *call) {
	if s.frozen {
		s.refuse(c, htcall.ReasonMoved)
		return
	}
	r := c.request
	if c.canceled || s.ownerLost || s.redirect(c) {
		return
	}
	s.calls[c.id] = c
	caller := strconv.Itoa(r.caller)
	if s.policy.settings.singleCaller {
		caller = ""
	}
	s.perform(s.pool.Offer(s.policy.now(), htdispatch.Request{
		ID:         c.id,
		Service:    serviceName,
		Caller:     caller,
		Idempotent: r.idempotent,
		Deadline:   epoch.Add(r.deadline),
	}))
}

// perform executes the actions of the state machine and schedules the next tick.
func (s *shard) perform(actions []htdispatch.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case htdispatch.Start:
			s.start(v)
		case htdispatch.Refuse:
			c := s.calls[v.Request.ID]
			delete(s.calls, v.Request.ID)
			if v.Reason != htcall.ReasonCanceled {
				s.refuse(c, v.Reason)
			}
		case htdispatch.Probe:
			s.probe(v)
		}
	}
	s.updateOwnView()
	s.stealCalls()
	s.tickVersion++
	version := s.tickVersion
	next := s.pool.NextTick(s.policy.now())
	if next.IsZero() {
		return
	}
	s.policy.model.at(next.Sub(epoch), func() {
		if s.tickVersion == version {
			s.perform(s.pool.Tick(s.policy.now()))
		}
	})
}

func (s *shard) start(a htdispatch.Start) {
	c := s.calls[a.Request.ID]
	delete(s.calls, a.Request.ID)
	u := upstreamIndex(a.Upstream.Name)
	pool := s.pool
	s.policy.model.send(s.owner, u, c.request, func(v answer) {
		now := s.policy.now()
		if s.pool != pool && s.ownerLost {
			return
		}
		if v.expired {
			s.finish(pool, pool.Finish(now, a.Ticket, htdispatch.Abandoned{DeadlinePassed: true}))
			return
		}
		s.finish(pool, pool.Finish(now, a.Ticket, htdispatch.Completed{Work: v.workTime, Report: s.report(v)}))
		load := s.pool.Load(now)
		views := s.policy.attachedViews(s.policy.hosts[s.owner])
		s.policy.model.after(s.policy.hostLatency(s.owner, c.request.host), func() { s.policy.handleAnswer(c, s, load, views) })
	})
}

// finish performs the actions of a pool unless it has been replaced.
func (s *shard) finish(pool *htdispatch.Pool, actions []htdispatch.Action) {
	if pool == s.pool {
		s.perform(actions)
	}
}

func upstreamIndex(name string) int {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic("htmodel: invalid upstream name " + name)
	}
	return i
}

func (s *shard) report(v answer) htdispatch.Report {
	state := htdispatch.StateWarm
	if v.cold {
		state = htdispatch.StateCold
	}
	return htdispatch.Report{State: state, InFlight: v.inFlight, Slots: s.policy.model.workload.Slots}
}

func (s *shard) probe(a htdispatch.Probe) {
	pool := s.pool
	s.policy.model.probe(s.owner, upstreamIndex(a.Upstream.Name), func(v answer) {
		s.finish(pool, pool.ProbeDone(s.policy.now(), a.Upstream.Name, true, s.report(v)))
	})
}

// refuse sends a refusal to the entry host of the call.
func (s *shard) refuse(c *call, reason htcall.Reason) {
	load := s.pool.Load(s.policy.now())
	s.policy.model.after(s.policy.hostLatency(s.owner, c.request.host), func() { s.policy.handleRefusal(c, s, reason, load) })
}

// domainChanged applies the removal or return of a failure domain. An owner in a domain
// that is taken out hands a shard of the whole pool over to a host in another domain.
func (s *shard) domainChanged(domain int, out bool) {
	now := s.policy.now()
	if !s.policy.settings.singleShard {
		if s.domain == domain {
			s.perform(s.pool.SetUpstreams(now, s.upstreams, out))
		}
		return
	}
	for i := range s.upstreams {
		if s.upstreams[i].Domain == domainName(domain) {
			s.upstreams[i].Leaving = out
		}
	}
	if out && s.domain == domain {
		s.handOver()
		return
	}
	s.perform(s.pool.SetUpstreams(now, s.upstreams, false))
}

// handleOwnerLoss models a crash of the owner. Queued calls and the answers of running
// calls are lost. The next owner starts without state after takeoverDelay, when all work
// of the old owner has ended.
func (s *shard) handleOwnerLoss() {
	s.ownerLost = true
	s.tickVersion++
	s.pool = nil
	s.calls = map[string]*call{}
	s.policy.model.after(takeoverDelay, func() {
		s.ownerLost = false
		s.owner = (s.owner + s.policy.model.workload.Domains) % s.policy.model.workload.Hosts
		s.pool = s.newPool()
		s.perform(s.pool.SetUpstreams(s.policy.now(), s.upstreams, false))
	})
}

// handOver moves the shard, with its occupied slots, to a host in the next failure
// domain.
func (s *shard) handOver() {
	s.frozen = true
	s.perform(s.pool.Freeze(s.policy.now()))
	s.policy.model.after(handoverDelay, func() {
		occupied := s.pool.OccupiedSlots()
		s.domain = (s.domain + 1) % s.policy.model.workload.Domains
		s.owner = s.domain
		s.frozen = false
		s.pool = s.newPool()
		s.pool.RestoreSlots(s.policy.now(), occupied)
		s.perform(s.pool.SetUpstreams(s.policy.now(), s.upstreams, false))
	})
}
