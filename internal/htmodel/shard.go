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

// releaseDelay is the time a shard has no owner in a planned hand-over: a view
// change in the table service and a release message.
const releaseDelay = 20 * time.Millisecond

// call is a request on its way through the shards.
type call struct {
	request    *request
	id         string
	forwards   int
	tried      []string // failure domains that refused it
	shard      *shard   // to which it was sent last
	twin       *call    // the hedge of this call, or the call of this hedge
	hedge      bool
	canceled   bool
	redirected bool // passed on by a shard without a free slot
}

// shard is a dispatcher with the real state machine, and the adapter around it.
type shard struct {
	p         *dispatched
	name      string
	domain    int // failure domain of the owner
	owner     int // entry host
	pool      *htdispatch.Pool
	upstreams []htresource.Upstream
	index     int
	calls     map[string]*call // in the queue
	stealing  int              // calls asked for and not yet there
	wake      uint64           // invalidates scheduled ticks
	frozen    bool             // between two owners in a planned hand-over
	lost      bool             // the owner was killed
}

func newShard(p *dispatched, domain int) *shard {
	s := &shard{
		p:      p,
		name:   htview.PoolShard(poolName, domainName(domain)).String(),
		index:  domain,
		domain: domain,
		owner:  domain, // hosts are spread round the failure domains
		calls:  map[string]*call{},
	}
	for _, u := range p.m.upstreams {
		if p.s.oneShard || u.domain == domain {
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
	evidence := 0.0 // the default
	if s.p.s.coldReport {
		evidence = math.Inf(1)
	}
	return htdispatch.New(htdispatch.Config{
		ColdThreshold: evidence,
		Shard:         s.name,
		ColdLimit:     coldBears,
		QueueLimit:    cmp.Or(s.p.s.queueLimit, htresource.DefaultQueueLimit) * s.queueShare(),
		ProbesPerSec:  probeRate,
	}, s.p.now())
}

// queueShare gives one shard for the whole pool the queue of all failure domains.
func (s *shard) queueShare() int {
	if s.p.s.oneShard {
		return s.p.m.workload.Domains
	}
	return 1
}

// offer passes a call to the state machine.
func (s *shard) offer(c *call) {
	if s.frozen {
		s.refuse(c, htcall.ReasonMoved)
		return
	}
	r := c.request
	if c.canceled || s.lost || s.redirect(c) {
		return
	}
	s.calls[c.id] = c
	caller := strconv.Itoa(r.caller)
	if s.p.s.oneCaller {
		caller = ""
	}
	s.perform(s.pool.Offer(s.p.now(), htdispatch.Request{
		ID:         c.id,
		Service:    serviceName,
		Caller:     caller,
		Idempotent: r.idempotent,
		Deadline:   epoch.Add(r.deadline),
	}))
}

// perform carries out actions, and schedules the next tick.
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
	s.tell()
	s.steal()
	s.wake++
	wake := s.wake
	next := s.pool.NextTick(s.p.now())
	if next.IsZero() {
		return
	}
	s.p.m.at(next.Sub(epoch), func() {
		if s.wake == wake {
			s.perform(s.pool.Tick(s.p.now()))
		}
	})
}

func (s *shard) start(a htdispatch.Start) {
	c := s.calls[a.Request.ID]
	delete(s.calls, a.Request.ID)
	u := upstreamIndex(a.Upstream.Name)
	pool := s.pool
	s.p.m.send(s.owner, u, c.request, func(v answer) {
		now := s.p.now()
		if s.pool != pool && s.lost {
			return
		}
		if v.expired {
			s.finish(pool, pool.Finish(now, a.Ticket, htdispatch.Abandoned{DeadlinePassed: true}))
			return
		}
		s.finish(pool, pool.Finish(now, a.Ticket, htdispatch.Completed{Work: v.work, Report: s.report(v)}))
		load := s.pool.Load(now)
		views := s.p.carry(s.p.hosts[s.owner])
		s.p.m.after(s.p.between(s.owner, c.request.host), func() { s.p.answered(c, s, load, views) })
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
		panic("htmodel: upstream name " + name)
	}
	return i
}

func (s *shard) report(v answer) htdispatch.Report {
	state := htdispatch.StateWarm
	if v.cold {
		state = htdispatch.StateCold
	}
	return htdispatch.Report{State: state, InFlight: v.inFlight, Slots: s.p.m.workload.Slots}
}

func (s *shard) probe(a htdispatch.Probe) {
	pool := s.pool
	s.p.m.probe(s.owner, upstreamIndex(a.Upstream.Name), func(v answer) {
		s.finish(pool, pool.ProbeDone(s.p.now(), a.Upstream.Name, true, s.report(v)))
	})
}

// refuse sends a refusal to the entry host of the call.
func (s *shard) refuse(c *call, reason htcall.Reason) {
	load := s.pool.Load(s.p.now())
	s.p.m.after(s.p.between(s.owner, c.request.host), func() { s.p.refusedBy(c, s, reason, load) })
}

// domainChanged applies a change of a failure domain. An owner in that domain
// hands a shard of the whole pool over to a host in another one.
func (s *shard) domainChanged(domain int, out bool) {
	now := s.p.now()
	if !s.p.s.oneShard {
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

// lose models the death of the owner. Queued calls and the answers of running ones
// are lost. The next owner starts without memory after takeoverDelay, when all work
// of the old owner has ended.
func (s *shard) lose() {
	s.lost = true
	s.wake++
	s.pool = nil
	s.calls = map[string]*call{}
	s.p.m.after(takeoverDelay, func() {
		s.lost = false
		s.owner = (s.owner + s.p.m.workload.Domains) % s.p.m.workload.Hosts
		s.pool = s.newPool()
		s.perform(s.pool.SetUpstreams(s.p.now(), s.upstreams, false))
	})
}

// handOver moves the shard to a host in the next failure domain.
func (s *shard) handOver() {
	s.frozen = true
	s.perform(s.pool.Freeze(s.p.now()))
	s.p.m.after(releaseDelay, func() {
		occupied := s.pool.OccupiedSlots()
		s.domain = (s.domain + 1) % s.p.m.workload.Domains
		s.owner = s.domain
		s.frozen = false
		s.pool = s.newPool()
		s.pool.RestoreSlots(s.p.now(), occupied)
		s.perform(s.pool.SetUpstreams(s.p.now(), s.upstreams, false))
	})
}
