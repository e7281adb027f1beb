package htentry

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"hawthornturn/core/htrelay"
)

const (
	// maxSeries bounds the number of counters with labels. Later services are counted under
	// otherService, so that the memory of a host does not grow with the declarations.
	maxSeries    = 1024
	otherService = "other"
)

// hostMetrics holds the metrics of a host.
type hostMetrics struct {
	set                  *metrics.Set
	storeCalls           *metrics.Counter
	storeFailures        *metrics.Counter
	datagrams            *metrics.Counter
	changesDropped       *metrics.Counter
	probes               *metrics.Counter
	ahead                *metrics.Counter
	inFlight             *metrics.Gauge
	choicesWithoutReport *metrics.Counter

	latency    *histogramSet // of calls
	waits      *histogramSet // time that calls waited for an upstream, without those that did not
	reportAges *histogramSet // age of the load report by which an upstream was chosen

	accounts *accountCounts

	mu       sync.Mutex // guards counters
	counters map[string]*metrics.Counter
}

func newMetrics() *hostMetrics {
	set := metrics.NewSet()
	return &hostMetrics{
		set:                  set,
		storeCalls:           set.NewCounter("hawthornturn_store_calls_total"),
		storeFailures:        set.NewCounter("hawthornturn_store_failures_total"),
		datagrams:            set.NewCounter("hawthornturn_datagrams_sent_total"),
		changesDropped:       set.NewCounter("hawthornturn_changes_dropped_total"),
		ahead:                set.NewCounter("hawthornturn_calls_ahead_total"),
		probes:               set.NewCounter("hawthornturn_probes_total"),
		inFlight:             set.NewGauge("hawthornturn_calls_in_flight", nil),
		choicesWithoutReport: set.NewCounter("hawthornturn_choices_without_report_total"),
		latency:              newHistogramSet("hawthornturn_call_seconds"),
		waits:                newHistogramSet("hawthornturn_wait_seconds"),
		reportAges:           newHistogramSet("hawthornturn_choice_age_seconds"),
		accounts:             newAccountCounts(),
		counters:             map[string]*metrics.Counter{},
	}
}

// incrementCounter adds one to a counter with labels. The labels other than the service must
// have a bounded number of values.
func (m *hostMetrics) incrementCounter(name, service, labels string) {
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

// recordCall counts a call that has ended, with its latency and wait.
func (m *hostMetrics) recordCall(r *CallRecord) {
	answer := r.Answer
	m.incrementCounter("hawthornturn_calls_total", answer.Trace.Service, fmt.Sprintf("domain=%q,outcome=%q,reason=%q", answer.Trace.Domain, answer.Outcome, reasonLabel(answer.Reason)))
	m.latency.record(histogramKey{answer.Trace.Service, string(answer.Outcome)}, r.Duration)
	if answer.Trace.Waited > 0 {
		m.waits.record(histogramKey{answer.Trace.Service, string(answer.Outcome)}, answer.Trace.Waited)
	}
}

// recordSend counts a send and records the age of the report by which its upstream was chosen.
func (m *hostMetrics) recordSend(d htrelay.Sent) {
	c := d.Choice
	m.incrementCounter("hawthornturn_sends_total", c.Upstream.Service, fmt.Sprintf("cause=%q,cold=\"%t\"", d.Cause, c.Cold))
	if c.Age < 0 {
		m.choicesWithoutReport.Inc()
		return
	}
	m.reportAges.record(histogramKey{c.Upstream.Service, "sent"}, c.Age)
}

// recordNotRetried counts a call that was not sent again.
func (m *hostMetrics) recordNotRetried(d htrelay.NotRetried) {
	m.incrementCounter("hawthornturn_not_sent_again_total", d.Service, fmt.Sprintf("cause=%q,because=%q", d.Cause, d.StopReason))
}
