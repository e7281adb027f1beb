package htdispatch

import (
	"time"

	"hawthornturn/core/htassert"
)

// Tick does what has become due.
func (p *Pool) Tick(now time.Time) []Action {
	p.advance(now)
	p.pump(now)
	return p.flush()
}

// NextTick returns when Tick is needed next. It reports the zero time if nothing
// will become due by itself.
func (p *Pool) NextTick(now time.Time) time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if f, ok := p.holds.top(); ok {
		sooner(f.until)
	}
	if e, ok := p.queue.expiry.top(); ok {
		sooner(e.expires)
	}
	if d, ok := p.dues.top(); ok {
		sooner(d.due)
	}
	if !next.IsZero() && next.Before(now) {
		return now
	}
	return next
}

// advance frees held slots whose time has come and attends to upstreams that are
// due.
func (p *Pool) advance(now time.Time) {
	for {
		f, ok := p.holds.top()
		if !ok || f.until.After(now) {
			break
		}
		u := f.upstream
		if silenced(f) {
			p.silence(f)
		} else {
			p.release(f, now)
		}
		if !u.gone {
			p.attend(u, now)
		}
	}
	for {
		d, ok := p.dues.top()
		if !ok || d.due.After(now) {
			break
		}
		p.attend(d.upstream, now)
	}
}

// attend does what is due for u and sets the time for the next look at it.
func (p *Pool) attend(u *upstream, now time.Time) {
	next := p.probe(u, now)
	if u.phase == phaseCold && !u.favoured && u.inFlight == 0 {
		favour := u.lastSign.Add(p.cfg.ColdRequestInterval)
		if favour.After(now) {
			next = earlier(next, favour)
		} else {
			u.favoured = true
		}
	}
	if u.pausedTill.After(now) {
		next = earlier(next, u.pausedTill)
	}
	p.place(u, now)
	if next.IsZero() {
		p.dues.remove(due{u})
		return
	}
	u.due = next
	p.dues.set(due{u})
}

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

// probe starts a probe of u if one is needed and in the budget. It returns when to
// look again, or the zero time.
func (p *Pool) probe(u *upstream, now time.Time) time.Time {
	if u.gone || u.declared.Leaving || p.domainOut || p.frozen {
		return time.Time{}
	}
	if u.probing {
		if lost := u.probeSince.Add(p.cfg.ProbeTimeout); lost.After(now) {
			return lost
		}
		p.probed(now, u, false, Report{})
	}
	wanted := now
	if u.accepts() {
		wanted = u.lastSign.Add(p.cfg.ProbeIdleTime)
		if u.inFlight > 0 {
			wanted = now.Add(p.cfg.ProbeIdleTime)
		}
		if len(u.silent) > 0 {
			wanted = now
		}
	}
	if u.bucket.next.After(wanted) {
		wanted = u.bucket.next
	}
	if wanted.After(now) {
		return wanted
	}
	u.bucket.take(now)
	u.probing = true
	u.probeSince = now
	p.checkProbe(u, now)
	p.actions = append(p.actions, Probe{Upstream: u.declared})
	return now.Add(p.cfg.ProbeTimeout)
}

func (p *Pool) checkProbe(u *upstream, now time.Time) {
	budget := p.cfg.ProbesPerSec * now.Sub(u.bucket.since).Seconds()
	htassert.That(float64(u.bucket.taken) <= budget, htassert.ProbeBudget,
		"%s: %d probes of %s in %s", p.cfg.Shard, u.bucket.taken, u.declared.Name, now.Sub(u.bucket.since))
}

// ProbeDone says how a probe ended.
func (p *Pool) ProbeDone(now time.Time, name string, ok bool, r Report) []Action {
	p.advance(now)
	if u := p.upstreams[name]; u != nil && u.probing {
		p.probed(now, u, ok, r)
		if !u.gone {
			p.attend(u, now)
		}
	}
	p.pump(now)
	return p.flush()
}

// probed takes in the result of a probe. It brings back an upstream that was down
// or draining, but only into cold start.
func (p *Pool) probed(now time.Time, u *upstream, ok bool, r Report) {
	u.probing = false
	u.lastSign = now
	p.change(u, now, func() {
		if !ok {
			u.setDown(now, phaseDown)
			return
		}
		if u.phase == phaseDown || u.phase == phaseDraining {
			u.setCold(now)
		}
		p.report(now, u, r)
	})
	if ok {
		p.live(u, now)
	}
}
