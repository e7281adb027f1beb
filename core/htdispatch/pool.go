package htdispatch

import (
	"slices"
	"time"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
)

// Pool dispatches the requests of one shard: it is the only sender of requests to the
// upstreams of one pool in one failure domain. A Pool is not safe for concurrent use.
// The times passed to it must not decrease.
type Pool struct {
	cfg             Config
	upstreams       map[string]*upstream
	ready           heap[*upstream] // upstreams that can accept a request now
	nextChecks      heap[upstreamByNextCheck]
	heldRequests    heap[*inFlightRequest]
	inFlightTable   inFlightTable
	queue           *queue
	workTimes       map[workClass]*workTimeEstimate
	overallWorkTime workTimeEstimate
	frozen          bool
	domainOut       bool
	starts          uint64
	inFlight        int
	capacity        int // sum of the limits of upstreams that accept requests
	heldCount       int
	lastLoadRefusal time.Time // last refusal because of load; see Load
	counts          Counts
	actions         []Action
}

// sheddingPeriod is how long Load reports shedding after a refusal because of load.
const sheddingPeriod = time.Second

// New returns a Pool without upstreams that applies the defaults to cfg.
func New(cfg Config, now time.Time) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg:             cfg,
		upstreams:       map[string]*upstream{},
		ready:           heap[*upstream]{id: readyHeap},
		nextChecks:      heap[upstreamByNextCheck]{id: nextCheckHeap},
		queue:           newQueue(),
		workTimes:       map[workClass]*workTimeEstimate{},
		lastLoadRefusal: now.Add(-sheddingPeriod),
	}
}

// SetUpstreams sets the declared upstreams and whether the failure domain is out of
// service. New upstreams start cold, and all upstreams do when the domain returns to
// service.
func (p *Pool) SetUpstreams(now time.Time, declared []htresource.Upstream, domainOut bool) []Action {
	p.advance(now)
	domainRestored := p.domainOut && !domainOut
	p.domainOut = domainOut
	named := make(map[string]bool, len(declared))
	for _, d := range declared {
		named[d.Name] = true
		p.declareUpstream(now, d, domainRestored)
	}
	for name, u := range p.upstreams {
		if named[name] {
			continue
		}
		p.updateUpstream(u, now, func() { u.undeclared = true })
		p.releaseAwaiting(u, now)
		p.deleteIfUnused(u)
	}
	p.dispatchQueue(now)
	return p.takeActions()
}

func (p *Pool) declareUpstream(now time.Time, d htresource.Upstream, domainRestored bool) {
	u := p.upstreams[d.Name]
	if u == nil {
		u = p.addUpstream(now, d)
	}
	restarted := u.undeclared || u.declared.Address != d.Address || (u.declared.Leaving && !d.Leaving)
	p.updateUpstream(u, now, func() {
		u.undeclared = false
		u.declared = d
		u.learnedLimit = min(u.learnedLimit, u.slots())
		if domainRestored || restarted {
			u.setCold(now)
			u.backoffUntil = now
			u.lastActivity = now
		}
	})
	p.checkUpstream(u, now)
}

func (p *Pool) addUpstream(now time.Time, d htresource.Upstream) *upstream {
	u := &upstream{declared: d, undeclared: true, lastActivity: now, probeTokens: newTokenBucket(p.cfg.ProbesPerSec, now)}
	u.setCold(now)
	p.upstreams[d.Name] = u
	return u
}

// deleteIfUnused deletes u if it is not declared and has no occupied slot.
func (p *Pool) deleteIfUnused(u *upstream) {
	if u.undeclared && u.inFlight == 0 {
		p.nextChecks.remove(upstreamByNextCheck{u})
		delete(p.upstreams, u.declared.Name)
	}
}

// updateUpstream runs update, which may change the limit of u, and updates the capacity
// and the ready heap accordingly.
func (p *Pool) updateUpstream(u *upstream, now time.Time, update func()) {
	before := u.capacityShare()
	update()
	p.capacity += u.capacityShare() - before
	p.updateReady(u, now)
}

// updateReady adds u to the ready heap if it can accept a request now, and removes it
// otherwise.
func (p *Pool) updateReady(u *upstream, now time.Time) {
	if p.domainOut || p.frozen || !u.acceptsRequests() || u.occupiedSlots() >= u.limit() || now.Before(u.backoffUntil) {
		p.ready.remove(u)
		return
	}
	u.readyScore = p.score(u, now)
	p.ready.set(u)
}

// Freeze refuses all queued and later requests because the shard moves to another owner.
// Requests in flight still end through Finish.
func (p *Pool) Freeze(now time.Time) []Action {
	p.advance(now)
	p.frozen = true
	for _, u := range p.upstreams {
		p.ready.remove(u)
	}
	p.dispatchQueue(now)
	return p.takeActions()
}

// addInFlight changes the number of occupied slots of u by n.
func (p *Pool) addInFlight(u *upstream, n int) {
	u.inFlight += n
	p.inFlight += n
}

// hold keeps the slot of f occupied until f.heldUntil.
func (p *Pool) hold(f *inFlightRequest) {
	f.held = true
	p.heldCount++
	p.heldRequests.set(f)
}

// releaseSlot releases the slot of f.
func (p *Pool) releaseSlot(f *inFlightRequest, now time.Time) {
	u := f.upstream
	switch {
	case f.awaitingResponse:
		u.awaitingResponse = slices.DeleteFunc(u.awaitingResponse, func(s *inFlightRequest) bool { return s == f })
	case f.held:
		p.heldCount--
		p.heldRequests.remove(f)
	default:
		u.unlink(f)
	}
	p.inFlightTable.remove(f)
	p.addInFlight(u, -1)
	p.updateReady(u, now)
	p.deleteIfUnused(u)
}

// Load returns the load of the shard, which is sent along with responses.
func (p *Pool) Load(now time.Time) htcall.Load {
	return htcall.Load{
		InFlight: p.inFlight,
		Queued:   p.queue.len(),
		Capacity: p.availableCapacity(),
		Shedding: now.Sub(p.lastLoadRefusal) < sheddingPeriod,
	}
}

func (p *Pool) availableCapacity() int {
	if p.domainOut || p.frozen {
		return 0
	}
	return p.capacity
}

// takeActions returns the pending actions and clears them.
func (p *Pool) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) refuse(r Request, reason htcall.Reason) {
	p.counts.Refused++
	p.actions = append(p.actions, Refuse{Request: r, Reason: reason})
}

// assertStartLimits checks the invariants after a start. It runs for every request, so
// the arguments of the assertion message are built only on a violation.
func (p *Pool) assertStartLimits(u *upstream) {
	switch {
	case p.domainOut:
		p.reportViolation(htassert.DomainOut, u)
	case u.undeclared || u.declared.Leaving || !u.acceptsRequests():
		p.reportViolation(htassert.UpstreamLeaving, u)
	case u.inFlight > u.declared.Slots || u.inFlight > u.learnedLimit:
		p.reportViolation(htassert.SlotLimit, u)
	case u.phase == phaseCold && u.inFlight > p.cfg.ColdLimit:
		p.reportViolation(htassert.ColdLimit, u)
	}
}

func (p *Pool) reportViolation(id htassert.ID, u *upstream) {
	htassert.That(false, id, "%s: start on %s: %s, %d in flight, allowed %d, slots %d",
		p.cfg.Shard, u.declared.Name, u.phase, u.inFlight, u.learnedLimit, u.declared.Slots)
}
