package htentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

const (
	// probeTimeout is the time after which an upstream that says nothing counts as
	// down. Its health path answers within milliseconds.
	probeTimeout = 250 * time.Millisecond
	// downPeriod is the time between probes of an upstream that is down. Each one costs
	// a connection.
	downPeriod = 300 * time.Millisecond
)

// probe asks the watched upstreams for their state.
func (e *Entry) probe(ctx context.Context) error {
	tick := e.timers.Subscribe("probe", e.settings.ProbePeriod)
	defer tick.Stop()
	due := map[htcatalog.Ref]time.Time{}
	busy := make(chan htcatalog.Ref, 1024)
	running := map[htcatalog.Ref]bool{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ref := <-busy:
			delete(running, ref)
			continue
		case <-tick.C:
		}
		now := e.timers.Now()
		for _, u := range e.watched(now) {
			ref := u.Ref()
			if running[ref] || now.Before(due[ref]) {
				continue
			}
			due[ref] = now.Add(e.probePause(ref))
			running[ref] = true
			go func() {
				e.probeOne(ctx, u)
				busy <- ref
			}()
		}
	}
}

// probePause returns how long an upstream is left alone after a probe; without a pause it
// is probed at the next tick. Upstreams are probed at the same tick, because each wake-up
// of the process costs as much as a probe.
func (e *Entry) probePause(ref htcatalog.Ref) time.Duration {
	pause := time.Duration(0)
	e.relay.Do(func(s *htselect.Selector) {
		if report, _ := s.Report(ref); report.Down {
			pause = downPeriod
		}
	})
	return pause
}

func (e *Entry) probeOne(ctx context.Context, u htcatalog.Upstream) {
	service := e.Catalog().Service(u.Service)
	if service == nil {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	e.metrics.probes.Add(1)
	observation, err := e.ports.Prober.Probe(probeCtx, u, service.HealthPath)
	if ctx.Err() != nil {
		return
	}
	now := e.timers.Now()
	if err != nil {
		e.logDown(u, err)
		observation = htselect.Observation{Slots: u.Slots, Down: true}
	}
	observation.Upstream = u.Ref()
	e.relay.Observe(now, observation)
}

// logDown writes a line when an upstream stops answering.
func (e *Entry) logDown(u htcatalog.Upstream, err error) {
	var known htselect.Observation
	e.relay.Do(func(s *htselect.Selector) { known, _ = s.Report(u.Ref()) })
	if !known.Down {
		logrus.WithFields(logrus.Fields{"event": "upstream-down", "upstream": u.ID, "service": u.Service, "failure-domain": u.Domain}).
			WithError(err).Warn("upstream does not answer")
	}
}
