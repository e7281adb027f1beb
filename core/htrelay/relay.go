package htrelay

import (
	"context"
	"sync"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
	"hawthornturn/core/htusage"
)

// stopWorkFactor is the time that a stopping host must have for a new call, as a factor of the
// usual work time, since work times vary.
const stopWorkFactor = 2

// Relay serves calls. It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	selector *htselect.Selector
	crashes  *crashes
	sender   Sender
	prober   Prober
	events   Events
	usage    *htusage.Limiter
	now      func() time.Time
	active   map[htcatalog.Ref]map[*run]bool // runs with a send in flight at the upstream
	queues   map[string]*queue               // by service
	answers  answerSizes
	cutAt    time.Time // when calls in flight will be cut, or zero
}

// New returns a Relay. It takes ownership of the selector, which must only be used through
// WithSelector from then on.
func New(selector *htselect.Selector, sender Sender, prober Prober, events Events, usage *htusage.Limiter, now func() time.Time) *Relay {
	return &Relay{
		selector: selector,
		crashes:  newCrashes(),
		sender:   sender,
		prober:   prober,
		events:   events,
		usage:    usage,
		now:      now,
		active:   map[htcatalog.Ref]map[*run]bool{},
		queues:   map[string]*queue{},
		answers:  answerSizes{byRoute: map[string]float64{}},
	}
}

// WithSelector calls f while no other goroutine uses the selector.
func (r *Relay) WithSelector(f func(s *htselect.Selector)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.selector)
}

// ObserveRemote records a report of an upstream that another host sent.
func (r *Relay) ObserveRemote(at time.Time, o htselect.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(at, o)
}

// observe records a report, reports a change of the upstream's state, counts crashes if the
// upstream is gone, lets the calls in flight there reconsider if the report differs enough,
// and dispatches waiting calls. The caller holds r.mu.
func (r *Relay) observe(at time.Time, o htselect.Observation) {
	before, _ := r.selector.Report(o.Upstream)
	differs := r.selector.Observe(at, o)
	after, _ := r.selector.Report(o.Upstream)
	u, known := r.selector.Upstream(o.Upstream)
	if known && after.State() != before.State() {
		r.events.UpstreamChanged(u, before, after)
	}
	if known {
		r.recordNotice(at, u, o.Notice)
	}
	if o.Gone {
		for _, c := range r.crashes.upstreamGone(at, o.Upstream) {
			r.events.Crashed(c)
		}
	}
	if differs {
		for call := range r.active[o.Upstream] {
			call.notifyChange()
		}
	}
	r.dispatchAll()
}

// recordNotice records a notice of an upstream and reports it. The caller holds r.mu.
func (r *Relay) recordNotice(now time.Time, u htcatalog.Upstream, n htselect.Notice) {
	if n == (htselect.Notice{}) {
		return
	}
	if r.selector.RecordNotice(now, htselect.IncarnationOf(u), n) {
		r.events.UpstreamLeaving(u)
	}
	if n.Pause > 0 {
		r.events.UpstreamPaused(u, n.Pause)
	}
}

// RecordLeaving records that an upstream announced its leaving to another host.
func (r *Relay) RecordLeaving(of htselect.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.RecordNotice(r.now(), of, htselect.Notice{Leaving: true})
}

// trackRun records that a run has a send in flight at an upstream, and untrackRun that it
// has ended. The caller holds r.mu.
func (r *Relay) trackRun(ref htcatalog.Ref, call *run) {
	runs := r.active[ref]
	if runs == nil {
		runs = map[*run]bool{}
		r.active[ref] = runs
	}
	runs[call] = true
}

func (r *Relay) untrackRun(ref htcatalog.Ref, call *run) {
	delete(r.active[ref], call)
	if len(r.active[ref]) == 0 {
		delete(r.active, ref)
	}
}

// CutAt announces that calls which are still in flight at a time will be cut. Calls that would
// probably not have ended by then are refused from now on.
func (r *Relay) CutAt(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAt = at
}

// deadline returns the deadline of a call or the time at which it will be cut, whichever is
// earlier. The caller holds r.mu.
func (r *Relay) deadline(call *Call) time.Time {
	if !r.cutAt.IsZero() && r.cutAt.Before(call.Deadline) {
		return r.cutAt
	}
	return call.Deadline
}

// timeLeft returns the time until the deadline of a call. The caller holds r.mu.
func (r *Relay) timeLeft(now time.Time, call *Call) time.Duration { return r.deadline(call).Sub(now) }

// cutBeforeAnswer reports whether a call would probably be cut by the stop of this host. The
// caller holds r.mu.
func (r *Relay) cutBeforeAnswer(now time.Time, call *Call) bool {
	usual := float64(r.selector.UsualWorkTime(call.Route))
	return !r.cutAt.IsZero() && float64(r.cutAt.Sub(now)) < stopWorkFactor*usual
}

// Serve runs a call and returns the answer for its caller. A quarantined request, and one beyond
// the limit of its account, are refused.
func (r *Relay) Serve(ctx context.Context, call *Call) *Answer {
	now := r.now()
	r.mu.Lock()
	blocked := r.crashes.blocked(now, call.fingerprint())
	service, late := "", false
	refused := r.accountRefusal(call)
	if !blocked && refused == nil {
		service = r.selector.ChooseService(now, call.Route)
		call.FirstAttempt = r.selector.FirstAttempt(call.Arrived, call.Route, call.CallerTimeout)
		late = !call.onTime(now, r.selector.UsualWorkTime(call.Route))
	}
	r.mu.Unlock()
	if refused != nil {
		return refused
	}
	if blocked {
		answer := refusal(htcall.ReasonQuarantined, crashWindow)
		answer.Trace.Fingerprint = formatID(call.fingerprint())
		return answer
	}
	if beyond := r.usage.Admit(now, call.Account, late); beyond != nil {
		return usageRefusal(beyond)
	}
	run := newRun(r, call, service)
	answer := run.serve(ctx)
	if !run.mayHaveRun(answer) {
		r.usage.GiveBack(r.now(), call.Account)
	}
	answer.Trace.Service = service
	switch answer.Outcome {
	case htcall.NotRun:
		r.addRefusalDetails(run, &answer.Trace)
	case htcall.Unknown:
		answer.Trace.Fingerprint = formatID(call.fingerprint())
	}
	return answer
}

// addRefusalDetails adds to the trace why no upstream could take the refused call.
func (r *Relay) addRefusalDetails(of *run, t *Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	t.UpstreamCounts = r.selector.UpstreamCounts(now, of.service, of.tried)
	if q := r.queues[of.service]; q != nil {
		t.Ahead = r.ahead(now, q, of.call)
		t.Pressure = q.pressure.share(now)
		t.Share = r.share(now, q, of.call)
	}
}
