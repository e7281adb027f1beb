package htrelay

import (
	"context"
	"sync"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

// Relay runs calls. It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	selector *htselect.Selector
	crashes  *crashes
	sender   Sender
	prober   Prober
	events   Events
	now      func() time.Time
	active   map[htcatalog.Ref]map[*run]bool // runs with a call at the upstream
	queues   map[string]*queue               // by service
}

// New returns a Relay. It takes over the selector: all later use must go through Do.
func New(selector *htselect.Selector, sender Sender, prober Prober, events Events, now func() time.Time) *Relay {
	return &Relay{
		selector: selector,
		crashes:  newCrashes(),
		sender:   sender,
		prober:   prober,
		events:   events,
		now:      now,
		active:   map[htcatalog.Ref]map[*run]bool{},
		queues:   map[string]*queue{},
	}
}

// WithSelector runs f while no other goroutine uses the selector.
func (r *Relay) WithSelector(f func(s *htselect.Selector)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.selector)
}

// ObserveRemote takes in what another host told of an upstream.
func (r *Relay) ObserveRemote(at time.Time, o htselect.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(at, o)
}

// observe takes in a report and lets the calls at the upstream look again if it has
// become slower or is down. The caller holds r.mu.
func (r *Relay) observe(at time.Time, o htselect.Observation) {
	before, _ := r.selector.Report(o.Upstream)
	differs := r.selector.Observe(at, o)
	after, _ := r.selector.Report(o.Upstream)
	if u, known := r.selector.Upstream(o.Upstream); known && after.State() != before.State() {
		r.events.UpstreamChanged(u, before, after)
	}
	if o.Gone {
		for _, c := range r.crashes.gone(at, o.Upstream) {
			r.events.Crashed(c)
		}
	}
	if differs {
		for call := range r.active[o.Upstream] {
			call.alert()
		}
	}
	r.pumpAll()
}

// enter notes that a run has a call at an upstream, and leave that it has ended. The
// caller holds r.mu.
func (r *Relay) enter(ref htcatalog.Ref, call *run) {
	runs := r.active[ref]
	if runs == nil {
		runs = map[*run]bool{}
		r.active[ref] = runs
	}
	runs[call] = true
}

func (r *Relay) leave(ref htcatalog.Ref, call *run) {
	delete(r.active[ref], call)
	if len(r.active[ref]) == 0 {
		delete(r.active, ref)
	}
}

// Serve runs a call and returns what its caller is told.
func (r *Relay) Serve(ctx context.Context, call *Call) *Answer {
	now := r.now()
	r.mu.Lock()
	blocked := r.crashes.blocked(now, call.fingerprint())
	service := ""
	if !blocked {
		service = r.selector.ChooseService(now, call.Route)
		call.FirstAttempt = r.selector.FirstAttempt(call.Arrived, call.Route, call.CallerTimeout)
	}
	r.mu.Unlock()
	if blocked {
		answer := refusal(htcall.ReasonQuarantined, crashWindow)
		answer.Trace.Fingerprint = name(call.fingerprint())
		return answer
	}
	run := newRun(r, call, service)
	answer := run.serve(ctx)
	answer.Trace.Service = service
	switch answer.Outcome {
	case htcall.NotRun:
		r.explain(run, &answer.Trace)
	case htcall.Unknown:
		answer.Trace.Fingerprint = name(call.fingerprint())
	}
	return answer
}

// explain notes what kept the upstreams of a refused call from taking it.
func (r *Relay) explain(of *run, t *Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	t.UpstreamCounts = r.selector.UpstreamCounts(now, of.service, of.tried)
	if q := r.queues[of.service]; q != nil {
		t.Ahead = r.ahead(now, q, of.call.Route.Priority)
		t.Pressure = q.pressure.share(now)
	}
}
