package htdispatch

import "time"

// Finish records how a started request ended. Completed, Refused and NotSent release
// the slot. ConnectionLost and Abandoned hold it until the deadline of the Start plus
// Config.HoldGrace or, if the request was cancelled, until Config.CancelGrace plus
// Config.HoldGrace has passed, if that is earlier. If the response was overdue, the slot
// also stays occupied until the upstream has responded again. A later Completed, Refused
// or NotSent for a held slot releases it early.
func (p *Pool) Finish(now time.Time, t Ticket, result Result) []Action {
	p.advance(now)
	if f := p.inFlightTable.get(t); f != nil && f.workTime != nil {
		p.finish(now, f, result)
	}
	p.dispatchQueue(now)
	return p.takeActions()
}

func (p *Pool) finish(now time.Time, f *inFlightRequest, result Result) {
	u := f.upstream
	if !f.held {
		f.overdue = p.isOverdue(now, f, result)
	}
	switch r := result.(type) {
	case Completed:
		p.updateUpstream(u, now, func() { p.recordResponse(now, f, r) })
		p.releaseSlot(f, now)
		p.confirmResponsive(u, now)
	case Refused:
		p.updateUpstream(u, now, func() {
			u.setColdIfServing(now)
			u.backoff = min(max(2*u.backoff, p.cfg.RefusalBackoff), maxRefusalBackoff)
			u.backoffUntil = now.Add(u.backoff)
			p.applyReport(now, u, r.Report)
		})
		p.releaseSlot(f, now)
		p.confirmResponsive(u, now)
	case NotSent:
		if !r.Local {
			p.updateUpstream(u, now, func() { u.setDown(now, phaseDown) })
		}
		p.releaseSlot(f, now)
	case ConnectionLost:
		if f.held {
			return
		}
		p.updateUpstream(u, now, func() {
			if r.TimedOut {
				u.setColdIfServing(now)
			} else {
				u.setDown(now, phaseDown)
			}
		})
		p.holdUntilDeadline(now, f)
	case Abandoned:
		if f.held {
			return
		}
		p.updateUpstream(u, now, func() { p.recordAbandoned(now, f, r) })
		if end := now.Add(p.cfg.CancelGrace); !r.DeadlinePassed && end.Before(f.deadline) {
			f.deadline = end
		}
		p.holdUntilDeadline(now, f)
	}
	if !u.undeclared {
		p.checkUpstream(u, now)
	}
}

// isOverdue reports whether a response to f was due before now. Until the first response of
// any class, a passed deadline is the only sign of that.
func (p *Pool) isOverdue(now time.Time, f *inFlightRequest, result Result) bool {
	estimate := f.workTime
	if estimate.mean == 0 {
		estimate = &p.overallWorkTime
	}
	if estimate.mean > 0 {
		return float64(now.Sub(f.started)) > estimate.p99
	}
	abandoned, ok := result.(Abandoned)
	return ok && abandoned.DeadlinePassed
}

// holdUntilDeadline keeps the slot of f occupied until Config.HoldGrace after
// f.deadline.
func (p *Pool) holdUntilDeadline(now time.Time, f *inFlightRequest) {
	f.upstream.unlink(f)
	f.heldUntil = f.deadline.Add(p.cfg.HoldGrace)
	if !f.heldUntil.After(now) {
		p.releaseSlot(f, now)
		return
	}
	p.hold(f)
}

// recordResponse updates the work time estimates, the slowdown and the warm-up evidence
// with a response.
func (p *Pool) recordResponse(now time.Time, f *inFlightRequest, a Completed) {
	u := f.upstream
	u.lastActivity = now
	u.backoff = 0
	referenceTime := f.workTime.referenceTime()
	f.workTime.observe(a.Work, u.phase == phaseWarm)
	p.overallWorkTime.observe(a.Work, u.phase == phaseWarm)
	if referenceTime == 0 {
		referenceTime = f.workTime.referenceTime()
	}
	ratio := float64(a.Work) / referenceTime
	u.slowdown = (u.currentSlowdown(now) + max(ratio-1, 0)) / 2
	u.slowdownAt = now
	p.updateEvidence(now, f, ratio)
	p.applyReport(now, u, a.Report)
}

// recordAbandoned counts an abandoned request as evidence that the upstream is cold.
// Only a passed deadline is evidence; a disconnected caller is not.
func (p *Pool) recordAbandoned(now time.Time, f *inFlightRequest, a Abandoned) {
	if !a.DeadlinePassed || f.workTime.mean == 0 {
		return
	}
	u := f.upstream
	ratio := float64(now.Sub(f.started)) / f.workTime.referenceTime()
	u.normalResponses = max(u.normalResponses-slowResponsePenalty, 0)
	u.coldEvidence += ratio * (1 - 1/p.cfg.ColdFactor)
	if u.coldEvidence >= p.cfg.ColdThreshold && u.phase == phaseWarm {
		u.setCold(now)
	}
}

// applyReport applies the slots and the state that the upstream reports. A report can
// only lower limits.
func (p *Pool) applyReport(now time.Time, u *upstream, r Report) {
	if r.Slots > 0 {
		u.reportedSlots = r.Slots
		u.learnedLimit = min(u.learnedLimit, u.slots())
	}
	switch r.State {
	case StateCold:
		if u.phase == phaseWarm {
			u.setCold(now)
		}
		u.warmEvidence = 0
	case StateDraining:
		u.setDown(now, phaseDraining)
	case StateWarm, StateUnknown:
	}
}
