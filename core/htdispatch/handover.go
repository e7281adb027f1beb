package htdispatch

import (
	"time"

	"hawthornturn/core/htresource"
)

// OccupiedSlot is a slot that is occupied until Until at the latest or, if Overdue is
// set, until the upstream responds after that time.
type OccupiedSlot struct {
	ID       string // request ID
	Upstream string
	Until    time.Time
	Overdue  bool
}

// WarmupState is the concurrency limit and warm-up progress of an upstream, learned from
// responses.
type WarmupState struct {
	Upstream string  `cbor:"upstream"`
	Allowed  int     `cbor:"allowed"` // learned limit of requests in flight
	Warm     bool    `cbor:"warm"`
	Warmth   float64 `cbor:"warmth"` // log-likelihood ratio of warm against cold
}

// WorkTime is the work time estimate of a class of requests, learned from responses. An
// empty Service denotes the estimate over all classes.
type WorkTime struct {
	Service    string        `cbor:"service"`
	Idempotent bool          `cbor:"idempotent"`
	Samples    int           `cbor:"samples"`
	Mean       time.Duration `cbor:"mean"`
	Tail       time.Duration `cbor:"tail"`
}

// OccupiedSlots returns all occupied slots. Until is a time on this process's clock.
func (p *Pool) OccupiedSlots() []OccupiedSlot {
	var all []OccupiedSlot
	for _, f := range p.inFlightTable.requests {
		if f.upstream == nil {
			continue
		}
		until := f.deadline.Add(p.cfg.HoldGrace)
		if f.held {
			until = f.heldUntil
		}
		all = append(all, OccupiedSlot{ID: f.requestID, Upstream: f.upstream.declared.Name, Until: until, Overdue: f.overdue})
	}
	return all
}

// RestoreSlots marks slots as occupied by requests that the previous owner of the shard
// has in flight. Upstreams that are not declared yet are recorded for SetUpstreams.
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
		f := p.inFlightTable.add()
		f.requestID = o.ID
		f.upstream = u
		f.started = now
		f.deadline = o.Until
		f.heldUntil = o.Until
		if f.overdue = o.Overdue; f.overdue {
			// The upstream may be declared only after this call, so an expired slot must
			// not be released at once.
			f.heldUntil = later(o.Until, now.Add(p.cfg.CancelGrace))
		}
		p.addInFlight(u, 1)
		p.hold(f)
		p.updateReady(u, now)
	}
}

// FinishRestored releases the slot of a restored request that the previous owner reports
// as ended. It returns false if no such slot is occupied.
func (p *Pool) FinishRestored(now time.Time, id string) ([]Action, bool) {
	p.advance(now)
	for _, f := range p.inFlightTable.requests {
		if f.upstream != nil && f.workTime == nil && f.requestID == id {
			u := f.upstream
			p.releaseSlot(f, now)
			if !u.undeclared {
				p.checkUpstream(u, now)
			}
			p.dispatchQueue(now)
			return p.takeActions(), true
		}
	}
	return p.takeActions(), false
}

// LearnedState returns the warm-up states and work times learned from responses, for
// the next owner of the shard.
func (p *Pool) LearnedState() ([]WarmupState, []WorkTime) {
	var warmups []WarmupState
	for _, u := range p.upstreams {
		if u.undeclared || !u.acceptsRequests() {
			continue
		}
		warmups = append(warmups, WarmupState{Upstream: u.declared.Name, Allowed: u.learnedLimit, Warm: u.phase == phaseWarm, Warmth: u.warmEvidence})
	}
	times := []WorkTime{p.overallWorkTime.export(workClass{})}
	for key, estimate := range p.workTimes {
		times = append(times, estimate.export(key))
	}
	return warmups, times
}

// RestoreLearnedState applies the warm-up states and work times that the previous owner
// had learned when it stopped.
func (p *Pool) RestoreLearnedState(now time.Time, warmups []WarmupState, times []WorkTime) []Action {
	p.advance(now)
	for _, t := range times {
		p.restoreWorkTime(t)
	}
	for _, warmup := range warmups {
		u := p.upstreams[warmup.Upstream]
		if u == nil || !u.acceptsRequests() || warmup.Allowed < 1 {
			continue
		}
		p.updateUpstream(u, now, func() {
			u.warmEvidence = warmup.Warmth
			if warmup.Warm {
				u.phase = phaseWarm
			}
			u.learnedLimit = min(warmup.Allowed, u.slots())
		})
		p.checkUpstream(u, now)
	}
	p.dispatchQueue(now)
	return p.takeActions()
}

func (p *Pool) restoreWorkTime(t WorkTime) {
	estimate := &p.overallWorkTime
	if t.Service != "" {
		estimate = &workTimeEstimate{}
		p.workTimes[workClass{service: t.Service, idempotent: t.Idempotent}] = estimate
	}
	*estimate = workTimeEstimate{samples: t.Samples, mean: float64(t.Mean), p99: float64(t.Tail)}
}

func (w *workTimeEstimate) export(key workClass) WorkTime {
	return WorkTime{
		Service: key.service, Idempotent: key.idempotent, Samples: w.samples,
		Mean: time.Duration(w.mean), Tail: time.Duration(w.p99),
	}
}
