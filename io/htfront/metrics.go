package htfront

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornturn/core/htpath"
)

const (
	// Latencies outside these bounds are counted as the nearer bound.
	minLatencyUS  = 1
	maxLatencyUS  = 120_000_000
	latencyDigits = 3
)

// Metrics counts calls by outcome and reason and records their latency up to the header of
// the answer.
type Metrics struct {
	outcomes *expvar.Map
	reasons  *expvar.Map
	complete *expvar.Int

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// NewMetrics returns metrics that are not published yet.
func NewMetrics() *Metrics {
	return &Metrics{
		outcomes: new(expvar.Map).Init(),
		reasons:  new(expvar.Map).Init(),
		complete: new(expvar.Int),
		latency:  hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits),
	}
}

// Count records an answer and its latency.
func (m *Metrics) Count(answer *htpath.Answer, elapsed time.Duration) {
	m.outcomes.Add(string(answer.Outcome), 1)
	if answer.Reason != "" {
		m.reasons.Add(string(answer.Reason), 1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latency.RecordValue(min(maxLatencyUS, max(minLatencyUS, elapsed.Microseconds())))
}

// CountComplete counts an answer that was written completely. It is not called for others,
// since htpath.WriteAnswer panics if the body of an answer fails.
func (m *Metrics) CountComplete() {
	m.complete.Add(1)
}

// Snapshot holds the counts since the start and quantiles of the latency in microseconds.
type Snapshot struct {
	Outcomes        map[string]int64 `json:"outcomes"`
	Reasons         map[string]int64 `json:"reasons"`
	CompleteAnswers int64            `json:"whole-answers"`
	LatencyUS       map[string]int64 `json:"latency-us"`
}

// Snapshot returns the current values.
func (m *Metrics) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{
		Outcomes:        values(m.outcomes),
		Reasons:         values(m.reasons),
		CompleteAnswers: m.complete.Value(),
		LatencyUS: map[string]int64{
			"p50":  m.latency.ValueAtQuantile(50),
			"p99":  m.latency.ValueAtQuantile(99),
			"p999": m.latency.ValueAtQuantile(99.9),
		},
	}
}

func values(m *expvar.Map) map[string]int64 {
	result := map[string]int64{}
	m.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			result[kv.Key] = v.Value()
		}
	})
	return result
}
