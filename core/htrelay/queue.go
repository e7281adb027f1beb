package htrelay

import (
	"slices"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

const (
	// lookPeriod is the time between looks of a waiting call that no event wakes: cold
	// upstreams and pauses after a refusal end by themselves.
	lookPeriod = 10 * time.Millisecond
	// lateWaitShare of the target is waited at most by a call whose answer will be late.
	lateWaitShare = 1.2
	// maxWaiting bounds the calls that wait for one service.
	maxWaiting = 256
)

// waiter is a call that waits for a good upstream.
type waiter struct {
	run     *run
	since   time.Time
	until   time.Time // from then on it does not wait for a better upstream; zero: not known yet
	granted chan *htselect.Choice
	entry   Queued // why it waits
}

// queue holds the waiters of a service, the most urgent first, then by arrival. It answers
// the load of a burst, or of a failure domain that was taken out: more calls than the
// upstreams can answer on time.
type queue struct {
	waiters  []*waiter
	pressure pressure
	polled   time.Time // when upstreams were asked last on behalf of the waiters
	looked   time.Time // when a look served the waiters last
}

// due reports whether the waiters are to look again. Each of them asks so every lookPeriod,
// and one look serves all: in overload, looks for each of them take most of the processor
// time of a host.
func (q *queue) due(now time.Time) bool {
	if now.Sub(q.looked) < lookPeriod/2 {
		return false
	}
	q.looked = now
	return true
}

func (q *queue) add(w *waiter) {
	at := len(q.waiters)
	for at > 0 && q.waiters[at-1].run.call.Route.Priority > w.run.call.Route.Priority {
		at--
	}
	q.waiters = slices.Insert(q.waiters, at, w)
}

// remove reports whether w was still waiting.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiters, w)
	if at < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return true
}

// ahead counts the waiters that come before a call of that priority that can be on time:
// the others are served after all that can.
func (r *Relay) ahead(now time.Time, q *queue, priority int) int {
	n := 0
	for _, w := range q.waiters {
		if w.run.call.Route.Priority <= priority && w.onTime(now, r.selector.UsualWorkTime(w.run.call.Route)) {
			n++
		}
	}
	return n
}

// acquire takes an upstream for the first send of a call, or makes the call wait. It
// returns the choice, the waiter or the refusal.
func (r *Relay) acquire(of *run) (*htselect.Choice, *waiter, *htselect.Refused) {
	now := r.now()
	route := of.call.Route
	left := of.call.Deadline.Sub(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[of.service]
	if q == nil {
		q = &queue{}
		r.queues[of.service] = q
	}
	ahead := r.ahead(now, q, route.Priority)
	choice, refused := r.selector.Choose(now, route, of.service, left, of.tried)
	switch {
	case refused != nil && !refused.Transient:
		return nil, nil, refused
	case refused == nil && ahead == 0 && (choice.Good() || !choice.Fresh()):
		// Without fresh reports, waiting tells nothing: no upstream has answered.
		q.pressure.entered(now, false)
		r.take(now, of, choice)
		return choice, nil, nil
	}
	q.pressure.entered(now, true)
	if refused != nil || ahead > 0 {
		wait := r.selector.EstimateWait(now, route, of.service, ahead)
		if refused != nil && refused.Reason == htcall.ReasonColdLimit {
			wait = refused.RetryAfter
		}
		if wait > left || len(q.waiters) >= maxWaiting {
			return nil, nil, &htselect.Refused{Reason: htcall.ReasonQueueFull, RetryAfter: htselect.ClampRetryAfter(wait)}
		}
	}
	w := &waiter{run: of, since: now, granted: make(chan *htselect.Choice, 1)}
	w.entry = Queued{
		Choice: choice, Ahead: ahead, Left: left,
		UpstreamCounts: r.selector.UpstreamCounts(now, of.service, of.tried), Pressure: q.pressure.share(now),
	}
	if choice != nil {
		w.until = now.Add(choice.MaxWait(route.Target))
	} else {
		w.entry.Reason = refused.Reason
	}
	q.add(w)
	return nil, w, nil
}

// knowsGood reports whether a good upstream for the call is known.
func (r *Relay) knowsGood(of *run) bool {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	choice, refused := r.selector.Choose(now, of.call.Route, of.service, of.call.Deadline.Sub(now), of.tried)
	return refused == nil && choice.Good()
}

// take counts a call that is about to be sent. The caller holds r.mu.
func (r *Relay) take(now time.Time, of *run, choice *htselect.Choice) {
	r.selector.Sent(now, choice)
	r.enter(choice.Upstream.Ref(), of)
}

// pump grants upstreams to waiting calls. The caller holds r.mu.
func (r *Relay) pump(service string) {
	q := r.queues[service]
	if q == nil {
		return
	}
	now := r.now()
	// Calls that can still be answered on time come first. In overload, waiting in the
	// order of arrival would make all calls late.
	for _, timely := range []bool{true, false} {
		for i := 0; i < len(q.waiters); {
			w := q.waiters[i]
			call := w.run.call
			choice, refused := r.selector.Choose(now, call.Route, service, call.Deadline.Sub(now), w.run.tried)
			if refused != nil {
				return
			}
			if w.until.IsZero() {
				w.until = now.Add(choice.MaxWait(call.Route.Target))
			}
			if w.onTime(now, choice.Expected) != timely || !w.takes(now, choice, q.pressure.overloaded(now)) {
				i++
				continue
			}
			q.waiters = slices.Delete(q.waiters, i, i+1)
			r.take(now, w.run, choice)
			w.granted <- choice
		}
	}
}

// takes reports whether a waiting call goes to an upstream. A call that will be late does
// not crowd an upstream: in overload, the others there would be late too.
func (w *waiter) takes(now time.Time, c *htselect.Choice, overloaded bool) bool {
	switch {
	case overloaded && !w.onTime(now, c.Expected):
		return false
	case c.Good():
		return true
	case c.Busy && !w.onTime(now, c.Expected):
		return false
	}
	return overloaded || !now.Before(w.until)
}

// onTime reports whether an answer within a time meets the target of the route.
func (w *waiter) onTime(now time.Time, within time.Duration) bool {
	call := w.run.call
	return now.Sub(call.FirstAttempt)+within <= call.Route.Target
}

// pumpAll grants upstreams to the waiting calls of all services. The caller holds r.mu.
func (r *Relay) pumpAll() {
	for service, q := range r.queues {
		if len(q.waiters) > 0 {
			r.pump(service)
		}
	}
}

// abandon takes a waiter out of its queue. It returns the choice if one was granted
// meanwhile.
func (r *Relay) abandon(w *waiter) *htselect.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queues[w.run.service].remove(w) {
		return nil
	}
	return <-w.granted
}

// look lets a waiting call look again. It takes the call out of the queue and reports so if
// too little time is left.
func (r *Relay) look(w *waiter) bool {
	now := r.now()
	call := w.run.call
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[w.run.service]
	if q.due(now) {
		r.pump(w.run.service)
	}
	if !slices.Contains(q.waiters, w) {
		return false
	}
	switch late := !w.onTime(now, r.selector.UsualWorkTime(call.Route)); {
	case call.Deadline.Sub(now) < r.selector.MinWorkTime(call.Route):
		return q.remove(w)
	case late && now.Sub(w.since) > lateWait(call.Route):
		return !r.lastChance(now, w) && q.remove(w)
	}
	return false
}

// lastChance sends a call whose wait is over to a good upstream if one is known: no call is
// refused while there is one. The caller holds r.mu.
func (r *Relay) lastChance(now time.Time, w *waiter) bool {
	call, service := w.run.call, w.run.service
	choice, refused := r.selector.Choose(now, call.Route, service, call.Deadline.Sub(now), w.run.tried)
	if refused != nil || !choice.Good() || !r.queues[service].remove(w) {
		return false
	}
	r.take(now, w.run, choice)
	w.granted <- choice
	return true
}

// lateWait is how long a call waits if its answer will be late. In overload, more waiting
// brings nothing, and a caller that is refused may come back when it is over.
func lateWait(route *htcatalog.Route) time.Duration {
	return time.Duration(lateWaitShare * float64(route.Target))
}

// waitFor returns when a refused call may come back.
func (r *Relay) waitFor(of *run) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return htselect.ClampRetryAfter(r.selector.EstimateWait(r.now(), of.call.Route, of.service, len(r.queues[of.service].waiters)))
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
