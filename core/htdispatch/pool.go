package htdispatch

import (
	"slices"
	"time"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
)

// Pool dispatches the requests of one shard: it is the only sender of work to the
// upstreams of one pool in one failure domain. A Pool is not safe for concurrent
// use. Times passed to it must not go backwards.
type Pool struct {
	cfg       Config
	upstreams map[string]*upstream
	ready     heap[*upstream] // upstreams that may get a request now
	dues      heap[due]
	holds     heap[*flight]
	flights   flights
	queue     *queue
	classes   map[class]*worktime
	allWork   worktime
	frozen    bool
	domainOut bool
	uses      uint64
	inFlight  int
	capacity  int // sum of the limits of upstreams that accept work
	heldCount int
	refusedAt time.Time // last refusal for load
	counts    Counts
	actions   []Action
}

// sheddingMemory is how long a refusal for load shows in Load.
const sheddingMemory = time.Second

// New returns a Pool without upstreams.
func New(cfg Config, now time.Time) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg:       cfg,
		upstreams: map[string]*upstream{},
		ready:     heap[*upstream]{slot: readyHeap},
		dues:      heap[due]{slot: dueHeap},
		queue:     newQueue(),
		classes:   map[class]*worktime{},
		refusedAt: now.Add(-sheddingMemory),
	}
}

// SetUpstreams takes in the declared upstreams and whether the failure domain is
// out. New upstreams, and all of them when the domain comes back, start cold.
func (p *Pool) SetUpstreams(now time.Time, declared []htresource.Upstream, domainOut bool) []Action {
	p.advance(now)
	back := p.domainOut && !domainOut
	p.domainOut = domainOut
	named := make(map[string]bool, len(declared))
	for _, d := range declared {
		named[d.Name] = true
		p.declare(now, d, back)
	}
	for name, u := range p.upstreams {
		if named[name] {
			continue
		}
		p.change(u, now, func() { u.gone = true })
		p.endSilence(u, now)
		p.forget(u)
	}
	p.pump(now)
	return p.flush()
}

func (p *Pool) declare(now time.Time, d htresource.Upstream, back bool) {
	u := p.upstreams[d.Name]
	if u == nil {
		u = p.addUpstream(now, d)
	}
	restarted := u.gone || u.declared.Address != d.Address || (u.declared.Leaving && !d.Leaving)
	p.change(u, now, func() {
		u.gone = false
		u.declared = d
		u.allowed = min(u.allowed, u.slots())
		if back || restarted {
			u.setCold(now)
			u.pausedTill = now
			u.lastSign = now
		}
	})
	p.attend(u, now)
}

func (p *Pool) addUpstream(now time.Time, d htresource.Upstream) *upstream {
	u := &upstream{declared: d, gone: true, lastSign: now, bucket: newBucket(p.cfg.ProbesPerSec, now)}
	u.setCold(now)
	p.upstreams[d.Name] = u
	return u
}

// forget drops an upstream that is not declared and has no slot taken.
func (p *Pool) forget(u *upstream) {
	if u.gone && u.inFlight == 0 {
		p.dues.remove(due{u})
		delete(p.upstreams, u.declared.Name)
	}
}

// change runs edit, which may change what u is allowed, and keeps the sums and
// the ready heap in step.
func (p *Pool) change(u *upstream, now time.Time, edit func()) {
	before := u.share()
	edit()
	p.capacity += u.share() - before
	p.place(u, now)
}

// place puts u into the ready heap if it may get a request, and takes it out if
// not.
func (p *Pool) place(u *upstream, now time.Time) {
	if p.domainOut || p.frozen || !u.accepts() || u.busy() >= u.limit() || now.Before(u.pausedTill) {
		p.ready.remove(u)
		return
	}
	u.key = p.score(u, now)
	p.ready.set(u)
}

// Freeze refuses the queue and starts nothing any more, because the shard moves to
// another owner. Requests in flight still end through Finish.
func (p *Pool) Freeze(now time.Time) []Action {
	p.advance(now)
	p.frozen = true
	for _, u := range p.upstreams {
		p.ready.remove(u)
	}
	p.pump(now)
	return p.flush()
}

// occupy changes the number of taken slots of u by n.
func (p *Pool) occupy(u *upstream, n int) {
	u.inFlight += n
	p.inFlight += n
}

// hold keeps the slot of f taken until f.until.
func (p *Pool) hold(f *flight) {
	f.held = true
	p.heldCount++
	p.holds.set(f)
}

// release frees the slot of f.
func (p *Pool) release(f *flight, now time.Time) {
	u := f.upstream
	switch {
	case f.silent:
		u.silent = slices.DeleteFunc(u.silent, func(s *flight) bool { return s == f })
	case f.held:
		p.heldCount--
		p.holds.remove(f)
	default:
		u.unlink(f)
	}
	p.flights.remove(f)
	p.occupy(u, -1)
	p.place(u, now)
	p.forget(u)
}

// Load returns the load of the shard as it travels with answers.
func (p *Pool) Load(now time.Time) htcall.Load {
	return htcall.Load{
		InFlight: p.inFlight,
		Queued:   p.queue.len(),
		Capacity: p.capacityNow(),
		Shedding: now.Sub(p.refusedAt) < sheddingMemory,
	}
}

func (p *Pool) capacityNow() int {
	if p.domainOut || p.frozen {
		return 0
	}
	return p.capacity
}

func (p *Pool) flush() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) refuse(r Request, reason htcall.Reason) {
	p.counts.Refused++
	p.actions = append(p.actions, Refuse{Request: r, Reason: reason})
}

// checkStart asserts the limits after a start. The arguments of a message are
// built only on a violation, since this runs for every request.
func (p *Pool) checkStart(u *upstream) {
	switch {
	case p.domainOut:
		p.violated(htassert.DomainOut, u)
	case u.gone || u.declared.Leaving || !u.accepts():
		p.violated(htassert.UpstreamLeaving, u)
	case u.inFlight > u.declared.Slots || u.inFlight > u.allowed:
		p.violated(htassert.SlotLimit, u)
	case u.phase == phaseCold && u.inFlight > p.cfg.ColdLimit:
		p.violated(htassert.ColdLimit, u)
	}
}

func (p *Pool) violated(id htassert.ID, u *upstream) {
	htassert.That(false, id, "%s: start on %s: %s, %d in flight, allowed %d, slots %d",
		p.cfg.Shard, u.declared.Name, u.phase, u.inFlight, u.allowed, u.declared.Slots)
}
