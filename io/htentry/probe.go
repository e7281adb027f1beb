package htentry

import (
	"context"
	"math/rand/v2"
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
	// watchPeriod is the time between looks at which upstreams are due.
	watchPeriod = 20 * time.Millisecond
	// watchListPeriod is the time between looks at who watches what.
	watchListPeriod = 200 * time.Millisecond
)

// probe asks the watched upstreams for their state.
func (e *Entry) probe(ctx context.Context) error {
	tick := e.timers.Subscribe("probe", watchPeriod)
	defer tick.Stop()
	due := map[htcatalog.Ref]time.Time{}
	busy := make(chan htcatalog.Ref, 1024)
	running := map[htcatalog.Ref]bool{}
	var watched []htcatalog.Upstream
	var listed time.Time
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
		if now.Sub(listed) >= watchListPeriod {
			watched, listed = e.watched(now), now
		}
		for _, u := range watched {
			ref := u.Ref()
			if running[ref] || now.Before(due[ref]) {
				continue
			}
			due[ref] = now.Add(e.probeInterval(ref))
			running[ref] = true
			go func() {
				e.probeOne(ctx, u)
				busy <- ref
			}()
		}
	}
}

// probeInterval returns the time until the next probe, spread a little so that hosts
// do not probe at the same moment.
func (e *Entry) probeInterval(ref htcatalog.Ref) time.Duration {
	period := e.settings.ProbePeriod
	e.relay.Do(func(s *htselect.Selector) {
		if report, _ := s.Report(ref); report.Down {
			period = downPeriod
		}
	})
	return period - period/8 + rand.N(period/4)
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
