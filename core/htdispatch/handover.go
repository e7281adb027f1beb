package htdispatch

import (
	"time"

	"hawthornturn/core/htresource"
)

// OccupiedSlot is a slot that is taken until a time at the latest or, if the answer is
// overdue, until the upstream shows after that time that it lives.
type OccupiedSlot struct {
	ID       string // of the request
	Upstream string
	Until    time.Time
	Overdue  bool
}

// WarmupState is what answers have proved of an upstream.
type WarmupState struct {
	Upstream string  `cbor:"upstream"`
	Allowed  int     `cbor:"allowed"`
	Warm     bool    `cbor:"warm"`
	Warmth   float64 `cbor:"warmth"`
}

// WorkTime is what answers have shown of the work times of a class of requests.
type WorkTime struct {
	Service    string        `cbor:"service"`
	Idempotent bool          `cbor:"idempotent"`
	Samples    int           `cbor:"samples"`
	Mean       time.Duration `cbor:"mean"`
	Tail       time.Duration `cbor:"tail"`
}

// OccupiedSlots returns the taken slots. Until is in the time of this process.
func (p *Pool) OccupiedSlots() []OccupiedSlot {
	var all []OccupiedSlot
	for _, f := range p.flights.all {
		if f.upstream == nil {
			continue
		}
		until := f.deadline.Add(p.cfg.HoldGrace)
		if f.held {
			until = f.until
		}
		all = append(all, OccupiedSlot{ID: f.id, Upstream: f.upstream.declared.Name, Until: until, Overdue: f.overdue})
	}
	return all
}

// RestoreSlots marks slots as taken by requests that an earlier owner of the shard has in
// flight. Upstreams that are not declared yet are remembered.
func (p *Pool) RestoreSlots(now time.Time, occupied []OccupiedSlot) {
	p.advance(now)
	for _, o := range occupied {
		if !o.Overdue && !o.Until.After(now) {
			continue
		}
		u := p.upstreams[o.Upstream]
		if u == nil {
			u = p.addUpstream(now, htresource.Upstream{Name: o.Upstream})
		}
		f := p.flights.add()
		f.id = o.ID
		f.upstream = u
		f.started = now
		f.deadline = o.Until
		f.until = o.Until
		if f.overdue = o.Overdue; f.overdue {
			// The upstream may be declared only after this.
			f.until = later(o.Until, now.Add(p.cfg.CancelGrace))
		}
		p.occupy(u, 1)
		p.hold(f)
		p.place(u, now)
	}
}

// FinishRestored frees the slot of a request that an earlier owner reports as ended.
// It reports false if no such slot is taken.
func (p *Pool) FinishRestored(now time.Time, id string) ([]Action, bool) {
	p.advance(now)
	for _, f := range p.flights.all {
		if f.upstream != nil && f.class == nil && f.id == id {
			u := f.upstream
			p.release(f, now)
			if !u.gone {
				p.attend(u, now)
			}
			p.pump(now)
			return p.flush(), true
		}
	}
	return p.flush(), false
}

// LearnedState returns what answers have proved, for the next owner of the shard.
func (p *Pool) LearnedState() ([]WarmupState, []WorkTime) {
	var proofs []WarmupState
	for _, u := range p.upstreams {
		if u.gone || !u.accepts() {
			continue
		}
		proofs = append(proofs, WarmupState{Upstream: u.declared.Name, Allowed: u.allowed, Warm: u.phase == phaseWarm, Warmth: u.warmth})
	}
	times := []WorkTime{p.allWork.export(class{})}
	for key, w := range p.classes {
		times = append(times, w.export(key))
	}
	return proofs, times
}

// RestoreLearnedState takes over what answers have proved to an earlier owner, up to the moment
// at which it stopped.
func (p *Pool) RestoreLearnedState(now time.Time, proofs []WarmupState, times []WorkTime) []Action {
	p.advance(now)
	for _, t := range times {
		p.takeWorkTime(t)
	}
	for _, proof := range proofs {
		u := p.upstreams[proof.Upstream]
		if u == nil || !u.accepts() || proof.Allowed < 1 {
			continue
		}
		p.change(u, now, func() {
			u.warmth = proof.Warmth
			if proof.Warm {
				u.phase = phaseWarm
			}
			u.allowed = min(proof.Allowed, u.slots())
		})
		p.attend(u, now)
	}
	p.pump(now)
	return p.flush()
}

func (p *Pool) takeWorkTime(t WorkTime) {
	w := &p.allWork
	if t.Service != "" {
		w = &worktime{}
		p.classes[class{service: t.Service, idempotent: t.Idempotent}] = w
	}
	*w = worktime{samples: t.Samples, mean: float64(t.Mean), tail: float64(t.Tail)}
}

func (w *worktime) export(key class) WorkTime {
	return WorkTime{
		Service: key.service, Idempotent: key.idempotent, Samples: w.samples,
		Mean: time.Duration(w.mean), Tail: time.Duration(w.tail),
	}
}
