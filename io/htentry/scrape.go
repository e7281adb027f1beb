package htentry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htselect"
	"hawthornturn/io/htclient"
	"hawthornturn/io/htlog"
)

// MetricsPath is the URL path of the metrics.
const MetricsPath = "/metrics"

// LogCounts provides the number of log lines written, and dropped by kind.
type LogCounts interface {
	Counts() (written int64, dropped map[string]int64)
}

// serveMetrics writes all metrics in the Prometheus text format.
func (e *Entry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m := e.metrics
	m.set.WritePrometheus(w)
	for _, d := range []*histogramSet{m.latency, m.waits, m.reportAges} {
		d.write(w)
	}
	m.accounts.write(w)
	e.writeServices(w)
	e.writeHost(w)
	if e.deps.Log != nil {
		written, dropped := e.deps.Log.Counts()
		_, _ = fmt.Fprintf(w, "hawthornturn_log_lines_total %d\n", written)
		for _, kind := range slices.Sorted(maps.Keys(dropped)) {
			_, _ = fmt.Fprintf(w, "hawthornturn_log_lines_dropped_total{kind=%q} %d\n", kind, dropped[kind])
		}
	}
}

// writeServices writes the current metrics of each service: upstreams by state, queue length,
// retry tokens and the limit on sends to cold upstreams.
func (e *Entry) writeServices(w io.Writer) {
	now := e.timers.Now()
	var services []htselect.ServiceDump
	e.relay.WithSelector(func(s *htselect.Selector) { services = s.DumpServices(now) })
	waiting := e.relay.QueueLengths()
	lines := e.relay.Lines()
	for _, s := range services {
		c := s.UpstreamCounts
		for _, state := range []struct {
			name  string
			count int
		}{
			{"out", c.Out},
			{"draining", c.Draining},
			{"down", c.Down},
			{"held", c.Held},
			{"cold", c.Cold},
			{"paused", c.Paused},
			{"full", c.Full},
			{"free", c.Free},
		} {
			_, _ = fmt.Fprintf(w, "hawthornturn_upstreams{service=%q,state=%q} %d\n", s.Name, state.name, state.count)
		}
		_, _ = fmt.Fprintf(w, "hawthornturn_calls_waiting{service=%q} %d\n", s.Name, waiting[s.Name])
		if line, ok := lines[s.Name]; ok {
			_, _ = fmt.Fprintf(w, "hawthornturn_picture_age_seconds{service=%q} %g\n", s.Name, line.Age.Seconds())
			_, _ = fmt.Fprintf(w, "hawthornturn_calls_held_back{service=%q} %d\n", s.Name, line.HeldBack)
			for _, class := range slices.Sorted(maps.Keys(line.Levels)) {
				_, _ = fmt.Fprintf(w, "hawthornturn_admission_level{service=%q,class=\"%d\"} %g\n", s.Name, class, line.Levels[class])
			}
		}
		_, _ = fmt.Fprintf(w, "hawthornturn_repeat_tokens{service=%q} %g\n", s.Name, s.RetryTokens)
		if s.HedgeTokens != nil {
			_, _ = fmt.Fprintf(w, "hawthornturn_hedge_tokens_seconds{service=%q} %g\n", s.Name, s.HedgeTokens.Seconds())
		}
		_, _ = fmt.Fprintf(w, "hawthornturn_cold_upstreams{service=%q} %d\n", s.Name, s.Cold)
		_, _ = fmt.Fprintf(w, "hawthornturn_cold_sends_allowed_per_second{service=%q} %d\n", s.Name, s.ColdSendsPerS)
	}
}

// writeHost writes the state of this host and the number of other hosts that run or are silent.
func (e *Entry) writeHost(w io.Writer) {
	state := e.state()
	ready := 0
	if ok, _ := e.Ready(); ok {
		ready = 1
	}
	_, _ = fmt.Fprintf(w, "hawthornturn_ready %d\n", ready)
	_, _ = fmt.Fprintf(w, "hawthornturn_config_version %d\n", state.Config)
	_, _ = fmt.Fprintf(w, "hawthornturn_store_age_seconds %g\n", float64(state.StoreMS)/1000)
	_, _ = fmt.Fprintf(w, "hawthornturn_store_era %d\n", state.Era)
	_, _ = fmt.Fprintf(w, "hawthornturn_body_bytes %d\n", e.memory.Used())
	for _, t := range []*htclient.Table{e.callers, e.balancer, e.peers, e.operators} {
		counts := t.Counts()
		_, _ = fmt.Fprintf(w, "hawthornturn_connections{listener=%q} %d\n", t.Name(), counts.Open)
		_, _ = fmt.Fprintf(w, "hawthornturn_connection_bytes{listener=%q} %d\n", t.Name(), counts.Bytes)
		_, _ = fmt.Fprintf(w, "hawthornturn_connections_refused_total{listener=%q} %d\n", t.Name(), counts.Refused)
		_, _ = fmt.Fprintf(w, "hawthornturn_connections_evicted_total{listener=%q} %d\n", t.Name(), counts.Evicted)
	}
	_, _ = fmt.Fprintf(w, "hawthornturn_hosts{state=\"running\"} %d\n", len(state.Running))
	_, _ = fmt.Fprintf(w, "hawthornturn_hosts{state=\"silent\"} %d\n", len(state.Silent))
}

// exposeMetrics serves the metrics at their own address until ctx ends. A host without metrics
// still serves callers, so a failure to listen is logged and retried by the supervisor.
func (e *Entry) exposeMetrics(ctx context.Context) error {
	listener, err := htclient.Listen("tcp4", e.settings.MetricsAddress)
	if err != nil {
		logrus.WithFields(logrus.Fields{htlog.FieldEvent: "metrics-unavailable", "address": e.settings.MetricsAddress}).WithError(err).Warn("metrics are not served: listening failed")
		return err
	}
	return e.operators.Serve(ctx, e.newOperatorServer(), listener)
}
