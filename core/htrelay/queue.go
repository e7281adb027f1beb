package htrelay

import (
	"slices"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htfair"
	"hawthornturn/core/htselect"
)

const (
	// recheckPeriod is the interval at which a waiting call checks for a free upstream
	// without an event: cold starts and pauses after a refusal end without one.
	recheckPeriod = 10 * time.Millisecond
	// lateWaitShare is the longest wait of a call whose answer will be late, as a factor of
	// the target.
	lateWaitShare = 1.2
	// maxWaiting bounds the calls that wait for one service.
	maxWaiting = 256
)

// waiter is a call that waits for a good upstream.
type waiter struct {
	run      *run
	since    time.Time
	until    time.Time // when the wait for a better upstream ends; zero if not yet known
	granted  chan *htselect.Choice
	refused  chan *Answer // the call had to make room for another
	decision Queued       // reported to Events; why the call waits
}

// queue holds the waiters of a service by priority, then by arrival. If accounts are declared,
// they get upstreams in the order of their shares. It is needed when more
// calls arrive than the upstreams can answer on time: in a burst, or when a failure domain
// was taken out of service.
type queue struct {
	waiters      []*waiter
	shares       *htfair.Shares // nil without accounts
	ordered      []*waiter      // the last result of order
	orderedAt    time.Time      // when it was worked out; zero if it does not hold any more
	line         serviceLine
	contestedAt  time.Time // when a call last waited, on any host
	pressure     pressure
	polledAt     time.Time // last probes on behalf of the waiters
	dispatchedAt time.Time // last dispatch by a waiter's recheck
}

// dispatchDue reports whether the waiters are to be dispatched now. Each waiter rechecks
// every recheckPeriod, and one dispatch covers all of them: in overload, a dispatch for
// each waiter takes most of the CPU time of a host.
func (q *queue) dispatchDue(now time.Time) bool {
	if now.Sub(q.dispatchedAt) < recheckPeriod/2 {
		return false
	}
	q.dispatchedAt = now
	return true
}

func (q *queue) add(w *waiter) {
	q.orderedAt = time.Time{}
	at := len(q.waiters)
	for at > 0 && q.waiters[at-1].run.call.Priority() > w.run.call.Priority() {
		at--
	}
	q.waiters = slices.Insert(q.waiters, at, w)
}

// remove removes w and reports whether it was still waiting.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiters, w)
	if at < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	if at := slices.Index(q.ordered, w); at >= 0 {
		q.ordered[at] = nil
	}
	return true
}

// ahead counts the waiters that precede an on-time call. Waiters that
// can't be on time are not counted, since they are served after all that can.
func (r *Relay) ahead(now time.Time, q *queue, call *Call) int {
	if len(q.waiters) == 0 {
		return 0
	}
	if shares := r.shares(now, q); shares != nil {
		return r.aheadInShares(now, q, shares, call)
	}
	n := 0
	for _, w := range q.waiters {
		if w.run.call.Priority() <= call.Priority() && w.run.call.onTime(now, r.selector.UsualWorkTime(w.run.call.Route)) {
			n++
		}
	}
	return n
}

// acquire chooses an upstream for the first send of a call, or queues the call. It returns
// the choice, the waiter or the refusal. A call that would have to wait longer than its
// time left is refused at once.
func (r *Relay) acquire(of *run) (*htselect.Choice, *waiter, *htselect.Refused) {
	now := r.now()
	route := of.call.Route
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutBeforeAnswer(now, of.call) {
		return nil, nil, &htselect.Refused{Reason: htcall.ReasonStopping, RetryAfter: freeRetryAfter}
	}
	left := r.timeLeft(now, of.call)
	q := r.queues[of.service]
	if q == nil {
		q = &queue{}
		r.queues[of.service] = q
	}
	r.recordAsked(now, q, of.call)
	ahead := r.ahead(now, q, of.call)
	delay := r.shareDelay(now, q, of.call)
	if delay > 0 && !of.call.onTime(now, delay+r.selector.UsualWorkTime(route)) {
		return nil, nil, &htselect.Refused{Reason: htcall.ReasonOverShare, RetryAfter: htselect.ClampRetryAfter(delay)}
	}
	choice, refused := r.selector.Choose(now, route, of.service, left, of.tried)
	switch {
	case refused != nil && !refused.Transient:
		return nil, nil, refused
	case refused == nil && ahead == 0 && delay == 0 && (choice.Good() || !choice.Fresh()):
		// Without fresh reports, waiting does not improve the choice: no upstream has
		// answered.
		q.pressure.record(now, false)
		r.recordSend(now, of, choice)
		return choice, nil, nil
	}
	q.pressure.record(now, true)
	if refused != nil || ahead > 0 {
		wait := r.selector.EstimateWait(now, route, of.service, ahead)
		if refused != nil && refused.Reason == htcall.ReasonColdLimit {
			wait = refused.RetryAfter
		}
		if wait > left || !r.makeRoom(now, q, of.call) {
			return nil, nil, &htselect.Refused{Reason: htcall.ReasonQueueFull, RetryAfter: htselect.ClampRetryAfter(wait)}
		}
	}
	w := &waiter{run: of, since: now, granted: make(chan *htselect.Choice, 1), refused: make(chan *Answer, 1)}
	w.decision = Queued{
		Choice: choice, Ahead: ahead, Left: left,
		UpstreamCounts: r.selector.UpstreamCounts(now, of.service, of.tried), Pressure: q.pressure.share(now),
	}
	if choice != nil {
		w.until = now.Add(choice.MaxWait(route.Target))
	} else {
		w.decision.Reason = refused.Reason
	}
	q.add(w)
	return nil, w, nil
}

// hasGoodChoice reports whether a good upstream for the call is known.
func (r *Relay) hasGoodChoice(of *run) bool {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	choice, refused := r.selector.Choose(now, of.call.Route, of.service, r.timeLeft(now, of.call), of.tried)
	return refused == nil && choice.Good() && !r.selector.CanaryUnknown(now, of.service)
}

// recordSend counts a call that is about to be sent. The caller holds r.mu.
func (r *Relay) recordSend(now time.Time, of *run, choice *htselect.Choice) {
	r.selector.Sent(now, choice)
	r.recordShare(now, of, choice)
	r.trackRun(choice.Upstream.Ref(), of)
}

// dispatch grants upstreams to waiting calls of a service. The caller holds r.mu.
func (r *Relay) dispatch(service string) {
	q := r.queues[service]
	if q == nil {
		return
	}
	now := r.now()
	if len(q.waiters) == 0 {
		return
	}
	order := r.order(now, q)
	// Calls that can still be answered on time go first. In overload, serving in the order
	// of arrival would make all calls late.
	for _, timely := range []bool{true, false} {
		for _, w := range order {
			if w == nil {
				continue
			}
			call := w.run.call
			// The recheck of a call whose key does not hold any more refuses it.
			if r.accountRefusal(call) != nil || r.shareDelay(now, q, call) > 0 {
				continue
			}
			choice, refused := r.selector.Choose(now, call.Route, service, r.timeLeft(now, call), w.run.tried)
			if refused != nil {
				return
			}
			if w.until.IsZero() {
				w.until = now.Add(choice.MaxWait(call.Route.Target))
			}
			if call.onTime(now, choice.Expected) != timely || !w.accepts(now, choice, q.pressure.overloaded(now)) {
				continue
			}
			q.remove(w)
			r.recordSend(now, w.run, choice)
			w.granted <- choice
		}
	}
}

// accepts reports whether a waiting call uses an upstream. A late call uses none in
// overload and otherwise none that it would make busy, since other calls there would become
// late too.
func (w *waiter) accepts(now time.Time, c *htselect.Choice, overloaded bool) bool {
	switch {
	case overloaded && !w.run.call.onTime(now, c.Expected):
		return false
	case c.Good():
		return true
	case c.Busy && !w.run.call.onTime(now, c.Expected):
		return false
	}
	return overloaded || !now.Before(w.until)
}

// dispatchAll dispatches the waiting calls of all services. The caller holds r.mu.
func (r *Relay) dispatchAll() {
	for service, q := range r.queues {
		if len(q.waiters) > 0 {
			r.dispatch(service)
		}
	}
}

// cancelWait removes a waiter from its queue. It returns the choice if one has been granted
// already.
func (r *Relay) cancelWait(w *waiter) *htselect.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queues[w.run.service].remove(w) {
		return nil
	}
	select {
	case choice := <-w.granted:
		return choice
	case <-w.refused:
		return nil
	}
}

// recheck dispatches the waiting calls if that is due. It removes w from the queue and
// returns the refusal if w is to be refused: its key no longer names its account, too little time
// is left, or its answer would be late and it has waited maxLateWait.
func (r *Relay) recheck(w *waiter) *Answer {
	now := r.now()
	call := w.run.call
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[w.run.service]
	if q.dispatchDue(now) {
		r.dispatch(w.run.service)
	}
	if !slices.Contains(q.waiters, w) {
		return nil
	}
	if refused := r.accountRefusal(call); refused != nil && q.remove(w) {
		return refused
	}
	usual := r.selector.UsualWorkTime(call.Route)
	if delay := r.shareDelay(now, q, call); delay > 0 && !call.onTime(now, delay+usual) && q.remove(w) {
		return refusal(htcall.ReasonOverShare, htselect.ClampRetryAfter(delay))
	}
	switch late := !call.onTime(now, usual); {
	case r.timeLeft(now, call) < r.selector.MinWorkTime(call.Route), r.cutBeforeAnswer(now, call):
		return r.refuseWaiting(now, q, w)
	case late && now.Sub(w.since) > maxLateWait(call.Route) && !r.sendIfGood(now, w):
		return r.refuseWaiting(now, q, w)
	}
	return nil
}

// refuseWaiting removes a waiter from its queue and returns its refusal. The caller holds r.mu.
func (r *Relay) refuseWaiting(now time.Time, q *queue, w *waiter) *Answer {
	if !q.remove(w) {
		return nil
	}
	wait := r.selector.EstimateWait(now, w.run.call.Route, w.run.service, len(q.waiters))
	return refusal(htcall.ReasonQueueFull, htselect.ClampRetryAfter(wait))
}

// sendIfGood sends a call whose wait is over to a good upstream if one is known, so that no
// call is refused while a good upstream is free. The caller holds r.mu.
func (r *Relay) sendIfGood(now time.Time, w *waiter) bool {
	call, service := w.run.call, w.run.service
	choice, refused := r.selector.Choose(now, call.Route, service, r.timeLeft(now, call), w.run.tried)
	if refused != nil || !choice.Good() || r.shareDelay(now, r.queues[service], call) > 0 || !r.queues[service].remove(w) {
		return false
	}
	r.recordSend(now, w.run, choice)
	w.granted <- choice
	return true
}

// maxLateWait returns the longest wait of a call whose answer will be late. In overload, a
// longer wait does not help, and a refused caller may retry when the overload is over.
func maxLateWait(route *htcatalog.Route) time.Duration {
	return time.Duration(lateWaitShare * float64(route.Target))
}

// QueueLengths returns the number of waiting calls by service.
func (r *Relay) QueueLengths() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := make(map[string]int, len(r.queues))
	for service, q := range r.queues {
		waiting[service] = len(q.waiters)
	}
	return waiting
}
