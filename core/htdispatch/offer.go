package htdispatch

import (
	"time"

	"hawthornturn/core/htcall"
)

// minWorkFraction is the fraction of the usual work time within which a request can still
// finish. A request with no more time than this left is not started.
const minWorkFraction = 0.5

// Offer submits a request, which is started, queued or refused.
func (p *Pool) Offer(now time.Time, r Request) []Action {
	p.advance(now)
	p.dispatchQueue(now)
	p.counts.Offered++
	workTime := p.workTime(r)
	minWorkTime := time.Duration(minWorkFraction * workTime.mean)
	switch reason := p.unavailableReason(); {
	case reason != htcall.ReasonNone:
		p.refuse(r, reason)
	case r.Deadline.Sub(now) <= minWorkTime:
		// The request cannot finish in time at any load, so the refusal does not count
		// as load shedding.
		p.refuse(r, htcall.ReasonDeadline)
	case p.queue.len() == 0 && p.ready.len() > 0:
		p.start(now, r, workTime)
	case now.Add(p.expectedWait(r)).Add(workTime.meanDuration()).After(r.Deadline):
		p.refuseForLoad(now, r, htcall.ReasonDeadline)
	default:
		p.enqueue(now, r, workTime, minWorkTime)
	}
	return p.takeActions()
}

// Cancel removes a request from the queue because its caller disconnected.
func (p *Pool) Cancel(now time.Time, requestID string) []Action {
	p.advance(now)
	if e := p.queue.byID[requestID]; e != nil {
		p.queue.remove(e)
		p.refuse(e.request, htcall.ReasonCanceled)
	}
	p.dispatchQueue(now)
	return p.takeActions()
}

// unavailableReason returns why no request can run, or ReasonNone.
func (p *Pool) unavailableReason() htcall.Reason {
	switch {
	case p.frozen:
		return htcall.ReasonMoved
	case p.domainOut:
		return htcall.ReasonDomainOut
	case p.capacity == 0:
		return htcall.ReasonNoUpstream
	}
	return htcall.ReasonNone
}

// workTime returns the work time estimate of the class of r.
func (p *Pool) workTime(r Request) *workTimeEstimate {
	key := workClass{service: r.Service, idempotent: r.Idempotent}
	estimate := p.workTimes[key]
	if estimate == nil {
		estimate = &workTimeEstimate{}
		p.workTimes[key] = estimate
	}
	return estimate
}

// expectedWait estimates the waiting time of r in the queue.
func (p *Pool) expectedWait(r Request) time.Duration {
	workingSlots := max(p.capacity-p.heldCount, 1)
	perStart := p.meanWorkTime() / float64(workingSlots)
	return time.Duration(float64(p.queue.ahead(r)+1) * perStart)
}

// meanWorkTime returns the mean work time over all classes in nanoseconds, weighted by
// the number of responses.
func (p *Pool) meanWorkTime() float64 {
	return p.overallWorkTime.mean
}

// enqueue queues r. If the queue is full, it evicts another request or refuses r.
func (p *Pool) enqueue(now time.Time, r Request, workTime *workTimeEstimate, minWorkTime time.Duration) {
	if p.queue.len() >= p.cfg.QueueLimit {
		e, ok := p.queue.evictionCandidate(r)
		if !ok {
			p.refuseForLoad(now, r, htcall.ReasonQueueFull)
			return
		}
		p.queue.remove(e)
		p.refuseForLoad(now, e.request, htcall.ReasonQueueFull)
	}
	if p.cfg.Burst > 0 {
		p.queue.setBurst(p.cfg.Burst)
	} else {
		p.queue.setBurst(max(minBurst, p.capacity))
	}
	p.queue.push(&queuedRequest{request: r, workTime: workTime, expires: r.Deadline.Add(-minWorkTime)})
}

// refuseForLoad refuses r and records the time, which Load reports as shedding.
func (p *Pool) refuseForLoad(now time.Time, r Request, reason htcall.Reason) {
	p.lastLoadRefusal = now
	p.refuse(r, reason)
}

// start starts r on the best ready upstream, which must exist.
func (p *Pool) start(now time.Time, r Request, workTime *workTimeEstimate) {
	u := p.chooseUpstream(now)
	f := p.inFlightTable.add()
	f.requestID = r.ID
	f.upstream = u
	f.workTime = workTime
	f.started = now
	f.deadline = r.Deadline
	p.addInFlight(u, 1)
	f.inFlightAtStart = u.inFlight
	u.link(f)
	p.starts++
	u.lastStart = p.starts
	u.preferred = false
	u.lastActivity = now
	p.assertStartLimits(u)
	p.updateReady(u, now)
	p.counts.Started++
	p.actions = append(p.actions, Start{Ticket: f.ticket, Request: r, Upstream: u.declared, Deadline: f.deadline})
}

// dispatchQueue refuses queued requests that have expired, or all of them if none can
// run, and starts queued requests while an upstream is ready.
func (p *Pool) dispatchQueue(now time.Time) {
	for {
		e, ok := p.queue.expiry.peek()
		if !ok || e.expires.After(now) {
			break
		}
		p.queue.remove(e.queuedRequest)
		p.refuseForLoad(now, e.request, htcall.ReasonDeadline)
	}
	reason := p.unavailableReason()
	for {
		e, ok := p.queue.next()
		if !ok {
			return
		}
		if reason != htcall.ReasonNone {
			p.queue.remove(e)
			p.refuse(e.request, reason)
			continue
		}
		if p.ready.len() == 0 {
			return
		}
		p.queue.dequeue(e)
		p.start(now, e.request, e.workTime)
	}
}
