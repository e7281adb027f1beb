package htrelay

import (
	"context"
	"errors"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

const (
	// probeCount is the number of upstreams that are probed at a time. With a third of them
	// slowed down, one of three is fast in 96 cases of 100.
	probeCount = 3
	// probeRounds is the most rounds of probes for a call while no good upstream is known.
	probeRounds = 2
	// probeWait is how long a call waits for probe results. Upstreams answer within a few
	// milliseconds; one that is lost does not answer at all.
	probeWait = 25 * time.Millisecond
	// probeTimeout is the time after which an upstream that does not answer a probe counts
	// as down for this host.
	probeTimeout = 250 * time.Millisecond
	// minReprobeInterval is the minimum interval between two probes of an upstream that
	// runs a call. The interval is also at least reprobeShare of the expected time of the
	// call.
	minReprobeInterval = 65 * time.Millisecond
	reprobeShare       = 0.25
	// pollPeriod is the interval between probes on behalf of the calls that wait for a
	// service.
	pollPeriod = 25 * time.Millisecond
)

// probeBest probes the most promising upstreams and returns when a good local one is found,
// when all have answered or after probeWait. It reports whether any was probed.
func (r *Relay) probeBest(ctx context.Context, call *Call, service string, tried []string) bool {
	r.mu.Lock()
	targets := r.selector.ProbeTargets(r.now(), call.Route, service, tried, probeCount)
	r.mu.Unlock()
	if len(targets) == 0 {
		return false
	}
	near := make(chan bool, len(targets))
	for _, u := range targets {
		go func() { near <- r.probe(ctx, u) }()
	}
	limit := time.NewTimer(probeWait)
	defer limit.Stop()
	for range targets {
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

// probe probes one upstream and reports whether it is good and local. It continues when the
// caller of the call leaves, since other calls can use the result.
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

// healthPath returns the health path of a service, or / if the service is not declared.
func (r *Relay) healthPath(service string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if declared := r.selector.Catalog().Service(service); declared != nil {
		return declared.HealthPath
	}
	return "/"
}

// reprobe probes the upstream of an in-flight call if that is due, so that the call can be
// hedged if the upstream has become slow.
func (r *Relay) reprobe(ctx context.Context, of *run) {
	r.mu.Lock()
	due := r.selector.ReprobeDue(r.now(), of.lastChoice, minReprobeInterval)
	r.mu.Unlock()
	if due {
		go r.probe(ctx, of.lastChoice.Upstream)
	}
}

// poll probes upstreams on behalf of the calls that wait for a service, at most every
// pollPeriod.
func (r *Relay) poll(ctx context.Context, w *waiter) {
	now := r.now()
	r.mu.Lock()
	q := r.queues[w.run.service]
	due := now.Sub(q.polledAt) >= pollPeriod
	if due {
		q.polledAt = now
	}
	r.mu.Unlock()
	if due {
		go r.probeBest(ctx, w.run.call, w.run.service, w.run.tried)
	}
}
