package htrelay

import (
	"context"
	"errors"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

const (
	// askCount is the number of upstreams that are asked at a time. With a third of them
	// slowed down, one of three is fast in 96 cases of 100.
	askCount = 3
	// askRounds is how often others are asked while no good upstream is known.
	askRounds = 2
	// askLimit is how long a call waits for what upstreams say of themselves. They answer
	// within a few milliseconds; one that is lost does not answer at all.
	askLimit = 25 * time.Millisecond
	// probeTimeout is the time after which an upstream that says nothing counts as down
	// for this host.
	probeTimeout = 250 * time.Millisecond
	// watchFloor and watchShare of the expected time are the least time between two
	// questions to an upstream that runs a call.
	watchFloor = 65 * time.Millisecond
	watchShare = 0.25
	// pollPeriod is the time between questions on behalf of the calls that wait for a
	// service.
	pollPeriod = 25 * time.Millisecond
)

// ask asks the most promising upstreams for their state and returns when a near one is
// found good, when all have answered or after askLimit. It reports whether any was asked.
func (r *Relay) ask(ctx context.Context, call *Call, service string, tried []string) bool {
	r.mu.Lock()
	asked := r.selector.ProbeTargets(r.now(), call.Route, service, tried, askCount)
	r.mu.Unlock()
	if len(asked) == 0 {
		return false
	}
	near := make(chan bool, len(asked))
	for _, u := range asked {
		go func() { near <- r.probe(ctx, u) }()
	}
	limit := time.NewTimer(askLimit)
	defer limit.Stop()
	for range asked {
		select {
		case good := <-near:
			if good {
				return true
			}
		case <-limit.C:
			return true
		case <-ctx.Done():
			return true
		}
	}
	return true
}

// probe asks one upstream for its state. It reports whether it is near and good. Whether a
// caller waits for the answer does not matter: what it says is of use to other calls.
func (r *Relay) probe(ctx context.Context, u htcatalog.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	o, err := r.prober.Probe(ctx, u, r.healthPath(u.Service))
	now := r.now()
	if err != nil {
		o = htselect.Observation{Slots: u.Slots, Down: true, Gone: errors.Is(err, ErrGone)}
	}
	o.Upstream = u.Ref()
	r.mu.Lock()
	before, _ := r.selector.Report(o.Upstream)
	r.observe(now, o)
	good := r.selector.GoodLocal(now, o.Upstream)
	r.mu.Unlock()
	if o.Down && !before.Down {
		r.events.UpstreamDown(u, err, o.Gone)
	}
	return good
}

// healthPath returns the health path of a service.
func (r *Relay) healthPath(service string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if declared := r.selector.Catalog().Service(service); declared != nil {
		return declared.HealthPath
	}
	return "/"
}

// watch asks the upstream of a call under way, so that the call can go elsewhere if it has
// become slow.
func (r *Relay) watch(ctx context.Context, of *run) {
	r.mu.Lock()
	due := r.selector.ReprobeDue(r.now(), of.last, watchFloor)
	r.mu.Unlock()
	if due {
		go r.probe(ctx, of.last.Upstream)
	}
}

// poll asks upstreams on behalf of the calls that wait for a service.
func (r *Relay) poll(ctx context.Context, w *waiter) {
	now := r.now()
	r.mu.Lock()
	q := r.queues[w.run.service]
	due := now.Sub(q.polled) >= pollPeriod
	if due {
		q.polled = now
	}
	r.mu.Unlock()
	if due {
		go r.ask(ctx, w.run.call, w.run.service, w.run.tried)
	}
}
