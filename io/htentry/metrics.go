package htentry

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htrelay"
)

const (
	// maxSeries bounds the counters with labels. What comes later is counted under
	// otherService, so that the memory of a host does not grow with the declarations.
	maxSeries    = 1024
	otherService = "other"
)

// hostMetrics are the counters of a host.
type hostMetrics struct {
	set            *metrics.Set
	storeCalls     *metrics.Counter
	storeFailures  *metrics.Counter
	datagrams      *metrics.Counter
	changesDropped *metrics.Counter
	probes         *metrics.Counter
	inFlight       *metrics.Gauge
	unknownChoices *metrics.Counter

	latency *distributions // of calls, in seconds
	waits   *distributions // of calls that waited for an upstream, in seconds
	ages    *distributions // of the reports by which upstreams were chosen, in seconds

	mu       sync.Mutex // guards counters
	counters map[string]*metrics.Counter
}

func newMetrics() *hostMetrics {
	set := metrics.NewSet()
	return &hostMetrics{
		set:            set,
		storeCalls:     set.NewCounter("hawthornturn_store_calls_total"),
		storeFailures:  set.NewCounter("hawthornturn_store_failures_total"),
		datagrams:      set.NewCounter("hawthornturn_datagrams_sent_total"),
		changesDropped: set.NewCounter("hawthornturn_changes_dropped_total"),
		probes:         set.NewCounter("hawthornturn_probes_total"),
		inFlight:       set.NewGauge("hawthornturn_calls_in_flight", nil),
		unknownChoices: set.NewCounter("hawthornturn_choices_without_report_total"),
		latency:        newDistributions("hawthornturn_call_seconds"),
		waits:          newDistributions("hawthornturn_wait_seconds"),
		ages:           newDistributions("hawthornturn_choice_age_seconds"),
		counters:       map[string]*metrics.Counter{},
	}
}

// count adds one to a counter with labels. The labels beside the service have a bounded
// number of values.
func (m *hostMetrics) count(name, service, labels string) {
	series := name + "{service=" + strconv.Quote(service) + "," + labels + "}"
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.counters[series]
	if counter == nil {
		if len(m.counters) >= maxSeries {
			series = name + "{service=" + strconv.Quote(otherService) + "," + labels + "}"
		}
		counter = m.set.GetOrCreateCounter(series)
		m.counters[series] = counter
	}
	counter.Inc()
}

// ended counts the end of a call.
func (m *hostMetrics) ended(r *Record) {
	a := r.Answer
	reason := a.Reason
	if reason == htcall.ReasonNone {
		reason = "none"
	}
	m.count("hawthornturn_calls_total", a.Trace.Service, fmt.Sprintf("domain=%q,outcome=%q,reason=%q", a.Trace.Domain, a.Outcome, reason))
	m.latency.record(distributionKey{a.Trace.Service, string(a.Outcome)}, r.Took)
	if a.Trace.Waited > 0 {
		m.waits.record(distributionKey{a.Trace.Service, string(a.Outcome)}, a.Trace.Waited)
	}
}

// sent counts a send.
func (m *hostMetrics) sent(d htrelay.Sent) {
	c := d.Choice
	m.count("hawthornturn_sends_total", c.Upstream.Service, fmt.Sprintf("cause=%q,cold=\"%t\"", d.Cause, c.Cold))
	if c.Age < 0 {
		m.unknownChoices.Inc()
		return
	}
	m.ages.record(distributionKey{c.Upstream.Service, "sent"}, c.Age)
}

// stayed counts a call that was not sent once more.
func (m *hostMetrics) stayed(d htrelay.NotRetried) {
	m.count("hawthornturn_not_sent_again_total", d.Service, fmt.Sprintf("cause=%q,because=%q", d.Cause, d.StopReason))
}
