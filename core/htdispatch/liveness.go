package htdispatch

import "time"

// awaitsResponse reports whether the slot of f stays occupied after f.heldUntil. An
// upstream measures its timeout from when it reads the request, and ends a cancelled
// request when it detects the closed connection. A paused upstream does neither: when it
// resumes, it reads all requests sent during the pause at once, which exceeds its slots
// if they were reused meanwhile. An overdue response is taken as evidence of a pause.
// Such a slot is released only after the upstream has responded again, or when the
// upstream is removed and receives no more requests.
func awaitsResponse(f *inFlightRequest) bool {
	return f.overdue && !f.responseSeen && !f.upstream.undeclared
}

// holdUntilResponse keeps the slot of f occupied until the upstream responds again.
func (p *Pool) holdUntilResponse(f *inFlightRequest) {
	p.heldCount--
	p.heldRequests.remove(f)
	f.awaitingResponse = true
	f.upstream.awaitingResponse = append(f.upstream.awaitingResponse, f)
}

// confirmResponsive records that u itself has responded. It releases the awaiting slots
// of requests started before the previous response: u had read them, so their deadline
// has passed on u as well. The others may have been read only now; their slots are held
// for Config.CancelGrace, within which u ends them.
func (p *Pool) confirmResponsive(u *upstream, now time.Time) {
	previousResponse := u.lastResponse
	u.lastResponse = now
	awaitingResponse := u.awaitingResponse
	u.awaitingResponse = nil
	for _, f := range awaitingResponse {
		f.awaitingResponse = false
		f.responseSeen = true
		p.hold(f)
		if f.started.Before(previousResponse) {
			p.releaseSlot(f, now)
			continue
		}
		f.heldUntil = now.Add(p.cfg.CancelGrace)
		p.heldRequests.set(f)
	}
}

// releaseAwaiting releases the slots of a removed upstream that await a response, because
// it receives no more requests.
func (p *Pool) releaseAwaiting(u *upstream, now time.Time) {
	for len(u.awaitingResponse) > 0 {
		p.releaseSlot(u.awaitingResponse[0], now)
	}
}
