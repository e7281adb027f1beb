package htdispatch

import "time"

// silenced reports whether the slot of f stays taken although its time has passed. The
// upstream counts its deadline from when it reads the request and ends a cancelled one
// when it notices that the connection is closed, so a paused upstream has done neither:
// when it wakes, all requests of the pause arrive at once, and more than its slots if
// these were given out again. An answer that was overdue is the evidence of a pause.
// Only the end of the silence frees the slot, unless nothing more is sent to the upstream.
func silenced(f *flight) bool {
	return f.overdue && !f.checked && !f.upstream.gone
}

// silence keeps the slot of f until the upstream lives.
func (p *Pool) silence(f *flight) {
	p.heldCount--
	p.holds.remove(f)
	f.silent = true
	f.upstream.silent = append(f.upstream.silent, f)
}

// live notes that u itself has answered something. It frees the slots of the requests
// that u had read before its silence, since their time has passed for u as well. It
// gives u the time of a cancellation to end those it may have read only now.
func (p *Pool) live(u *upstream, now time.Time) {
	before := u.alive
	u.alive = now
	silent := u.silent
	u.silent = nil
	for _, f := range silent {
		f.silent = false
		f.checked = true
		p.hold(f)
		if f.started.Before(before) {
			p.release(f, now)
			continue
		}
		f.until = now.Add(p.cfg.CancelGrace)
		p.holds.set(f)
	}
}

// endSilence frees the slots of an upstream that gets nothing more.
func (p *Pool) endSilence(u *upstream, now time.Time) {
	for len(u.silent) > 0 {
		p.release(u.silent[0], now)
	}
}
