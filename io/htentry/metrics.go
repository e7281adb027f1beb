package htentry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics are the counters of a host. They are published once per process.
type metrics struct {
	storeCalls     expvar.Int
	storeFailures  expvar.Int
	datagrams      expvar.Int
	changesDropped expvar.Int
	probes         expvar.Int
	inFlight       expvar.Int
	calls          expvar.Map

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

const (
	maxLatency = 60 * time.Second
	digits     = 2
)

var publish sync.Once

func newMetrics() *metrics {
	m := &metrics{latency: hdrhistogram.New(1, maxLatency.Microseconds(), digits)}
	m.calls.Init()
	publish.Do(func() {
		entry := new(expvar.Map).Init()
		entry.Set("store-calls", &m.storeCalls)
		entry.Set("store-failures", &m.storeFailures)
		entry.Set("datagrams-sent", &m.datagrams)
		entry.Set("changes-dropped", &m.changesDropped)
		entry.Set("probes", &m.probes)
		entry.Set("calls-in-flight", &m.inFlight)
		entry.Set("calls", &m.calls)
		entry.Set("latency-us", expvar.Func(m.quantiles))
		expvar.Publish("entry", entry)
	})
	return m
}

// CallStarted counts a call.
func (e *Entry) CallStarted() { e.metrics.inFlight.Add(1) }

// CallEnded counts the end of a call under its outcome and reason.
func (e *Entry) CallEnded(result string, took time.Duration) {
	m := e.metrics
	m.inFlight.Add(-1)
	m.calls.Add(result, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	// A value beyond the range is recorded as the largest one.
	_ = m.latency.RecordValue(min(took, maxLatency).Microseconds())
}

func (m *metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]int64{
		"p50":   m.latency.ValueAtQuantile(50),
		"p99":   m.latency.ValueAtQuantile(99),
		"p999":  m.latency.ValueAtQuantile(99.9),
		"count": m.latency.TotalCount(),
	}
}
