package htdispatch

import (
	"time"

	"hawthornturn/core/htassert"
)

// Tick processes everything that is due at now: held slots, queue expiry, probes and
// backoffs.
func (p *Pool) Tick(now time.Time) []Action {
	p.advance(now)
	p.dispatchQueue(now)
	return p.takeActions()
}

// NextTick returns when Tick must be called next, or the zero time if nothing is
// scheduled.
func (p *Pool) NextTick(now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if f, ok := p.heldRequests.peek(); ok {
		consider(f.heldUntil)
	}
	if e, ok := p.queue.expiry.peek(); ok {
		consider(e.expires)
	}
	if d, ok := p.nextChecks.peek(); ok {
		consider(d.nextCheck)
	}
	if !next.IsZero() && next.Before(now) {
		return now
	}
	return next
}

// advance releases the held slots that are due, unless they await a response, and checks
// the upstreams that are due.
func (p *Pool) advance(now time.Time) {
	for {
		f, ok := p.heldRequests.peek()
		if !ok || f.heldUntil.After(now) {
			break
		}
		u := f.upstream
		if awaitsResponse(f) {
			p.holdUntilResponse(f)
		} else {
			p.releaseSlot(f, now)
		}
		if !u.undeclared {
			p.checkUpstream(u, now)
		}
	}
	for {
		d, ok := p.nextChecks.peek()
		if !ok || d.nextCheck.After(now) {
			break
		}
		p.checkUpstream(d.upstream, now)
	}
}

// checkUpstream performs what is due for u and schedules its next check.
func (p *Pool) checkUpstream(u *upstream, now time.Time) {
	next := p.probeIfDue(u, now)
	if u.phase == phaseCold && !u.preferred && u.inFlight == 0 {
		preferAt := u.lastActivity.Add(p.cfg.ColdRequestInterval)
		if preferAt.After(now) {
			next = earlier(next, preferAt)
		} else {
			u.preferred = true
		}
	}
	if u.backoffUntil.After(now) {
		next = earlier(next, u.backoffUntil)
	}
	p.updateReady(u, now)
	if next.IsZero() {
		p.nextChecks.remove(upstreamByNextCheck{u})
		return
	}
	u.nextCheck = next
	p.nextChecks.set(upstreamByNextCheck{u})
}

// earlier returns the earlier of two times; a zero a counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// probeIfDue starts a probe of u if one is due and within the probe budget. It returns
// when to check again, or the zero time if u is not to be probed.
func (p *Pool) probeIfDue(u *upstream, now time.Time) time.Time {
	if u.undeclared || u.declared.Leaving || p.domainOut || p.frozen {
		return time.Time{}
	}
	if u.probing {
		if timeout := u.probeStarted.Add(p.cfg.ProbeTimeout); timeout.After(now) {
			return timeout
		}
		p.completeProbe(now, u, false, Report{})
	}
	probeAt := now
	if u.acceptsRequests() {
		probeAt = u.lastActivity.Add(p.cfg.ProbeIdleTime)
		if u.inFlight > 0 {
			probeAt = now.Add(p.cfg.ProbeIdleTime)
		}
		if len(u.awaitingResponse) > 0 {
			probeAt = now
		}
	}
	if u.probeTokens.next.After(probeAt) {
		probeAt = u.probeTokens.next
	}
	if probeAt.After(now) {
		return probeAt
	}
	u.probeTokens.take(now)
	u.probing = true
	u.probeStarted = now
	p.assertProbeBudget(u, now)
	p.actions = append(p.actions, Probe{Upstream: u.declared})
	return now.Add(p.cfg.ProbeTimeout)
}

func (p *Pool) assertProbeBudget(u *upstream, now time.Time) {
	budget := p.cfg.ProbesPerSec * now.Sub(u.probeTokens.created).Seconds()
	htassert.That(float64(u.probeTokens.taken) <= budget, htassert.ProbeBudget,
		"%s: %d probes of %s in %s", p.cfg.Shard, u.probeTokens.taken, u.declared.Name, now.Sub(u.probeTokens.created))
}

// ProbeDone records the result of a probe. It ignores upstreams without a pending probe.
func (p *Pool) ProbeDone(now time.Time, name string, ok bool, r Report) []Action {
	p.advance(now)
	if u := p.upstreams[name]; u != nil && u.probing {
		p.completeProbe(now, u, ok, r)
		if !u.undeclared {
			p.checkUpstream(u, now)
		}
	}
	p.dispatchQueue(now)
	return p.takeActions()
}

// completeProbe applies the result of a probe. A successful probe returns an upstream
// that was down or draining to service, in cold start.
func (p *Pool) completeProbe(now time.Time, u *upstream, ok bool, r Report) {
	u.probing = false
	u.lastActivity = now
	p.updateUpstream(u, now, func() {
		if !ok {
			u.setDown(now, phaseDown)
			return
		}
		if u.phase == phaseDown || u.phase == phaseDraining {
			u.setCold(now)
		}
		p.applyReport(now, u, r)
	})
	if ok {
		p.confirmResponsive(u, now)
	}
}
