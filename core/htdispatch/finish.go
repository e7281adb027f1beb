package htdispatch

import "time"

// Finish says how a started request ended. Answered, Refused and NotSent free the
// slot; Broken and Abandoned keep it until the deadline of the Start has passed, or,
// if the request was cancelled, until the upstream has surely noticed. If the answer was
// overdue, the upstream must also have shown since that it lives.
// An Answered for a kept slot frees it earlier.
func (p *Pool) Finish(now time.Time, t Ticket, result Result) []Action {
	p.advance(now)
	if f := p.flights.get(t); f != nil && f.class != nil {
		p.finish(now, f, result)
	}
	p.pump(now)
	return p.flush()
}

func (p *Pool) finish(now time.Time, f *flight, result Result) {
	u := f.upstream
	if !f.held {
		f.overdue = f.class.mean > 0 && float64(now.Sub(f.started)) > f.class.tail
	}
	switch r := result.(type) {
	case Completed:
		p.change(u, now, func() { p.learn(now, f, r) })
		p.release(f, now)
		p.live(u, now)
	case Refused:
		p.change(u, now, func() {
			u.lower(now)
			u.pause = min(max(2*u.pause, p.cfg.RefusalBackoff), maxRefusedPause)
			u.pausedTill = now.Add(u.pause)
			p.report(now, u, r.Report)
		})
		p.release(f, now)
		p.live(u, now)
	case NotSent:
		if !r.Local {
			p.change(u, now, func() { u.setDown(now, phaseDown) })
		}
		p.release(f, now)
	case ConnectionLost:
		if f.held {
			return
		}
		p.change(u, now, func() {
			if r.TimedOut {
				u.lower(now)
			} else {
				u.setDown(now, phaseDown)
			}
		})
		p.keep(now, f)
	case Abandoned:
		if f.held {
			return
		}
		p.change(u, now, func() { p.learnAge(now, f, r) })
		if end := now.Add(p.cfg.CancelGrace); !r.DeadlinePassed && end.Before(f.deadline) {
			f.deadline = end
		}
		p.keep(now, f)
	}
	if !u.gone {
		p.attend(u, now)
	}
}

// keep holds the slot of f until the deadline given to the upstream has passed.
func (p *Pool) keep(now time.Time, f *flight) {
	f.upstream.unlink(f)
	f.until = f.deadline.Add(p.cfg.HoldGrace)
	if !f.until.After(now) {
		p.release(f, now)
		return
	}
	p.hold(f)
}

// learn takes in an answer.
func (p *Pool) learn(now time.Time, f *flight, a Completed) {
	u := f.upstream
	u.lastSign = now
	u.pause = 0
	unit := f.class.unit()
	f.class.add(a.Work, u.phase == phaseWarm)
	p.allWork.add(a.Work, u.phase == phaseWarm)
	if unit == 0 {
		unit = f.class.unit()
	}
	ratio := float64(a.Work) / unit
	u.slowness = (u.slow(now) + max(ratio-1, 0)) / 2
	u.slowAt = now
	p.judge(now, f, ratio)
	p.report(now, u, a.Report)
}

// learnAge takes in that a request was given up. Only a passed deadline says
// something of the upstream.
func (p *Pool) learnAge(now time.Time, f *flight, a Abandoned) {
	if !a.DeadlinePassed || f.class.mean == 0 {
		return
	}
	u := f.upstream
	ratio := float64(now.Sub(f.started)) / f.class.unit()
	u.good = max(u.good-slowPrice, 0)
	u.coldness += ratio * (1 - 1/p.cfg.ColdFactor)
	if u.coldness >= p.cfg.ColdThreshold && u.phase == phaseWarm {
		u.setCold(now)
	}
}

// report takes in what the upstream says of itself. It can only lower limits.
func (p *Pool) report(now time.Time, u *upstream, r Report) {
	if r.Slots > 0 {
		u.reported = r.Slots
		u.allowed = min(u.allowed, u.slots())
	}
	switch r.State {
	case StateCold:
		if u.phase == phaseWarm {
			u.setCold(now)
		}
		u.warmth = 0
	case StateDraining:
		u.setDown(now, phaseDraining)
	case StateWarm, StateUnknown:
	}
}
