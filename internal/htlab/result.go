package htlab

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornturn/core/htcall"
)

// Counts are the numbers of calls of one kind by outcome, fault and reason.
type Counts struct {
	Sent       int                   `json:"sent"`
	Done       int                   `json:"done"`
	NotRun     int                   `json:"not-run"`
	Unknown    int                   `json:"unknown"`
	NoOutcome  int                   `json:"untold"` // ended without an outcome
	Late       int                   `json:"late"`
	Cut        int                   `json:"cut"`
	Wrong      int                   `json:"wrong"`
	NoConn     int                   `json:"no-conn"`
	Unlabelled int                   `json:"unlabelled"`
	Failed     int                   `json:"failed"`
	Resent     int                   `json:"resent"` // retried by net/http after a reused connection broke
	Reasons    map[htcall.Reason]int `json:"reasons"`
	Latency    Latency               `json:"latency"` // of complete responses with outcome done
}

// Latency summarises the times from the intended send time to the end of the call, in
// microseconds.
type Latency struct {
	MeanUS float64 `json:"mean-us"`
	P50US  int64   `json:"p50-us"`
	P90US  int64   `json:"p90-us"`
	P99US  int64   `json:"p99-us"`
	P999US int64   `json:"p999-us"`
	MaxUS  int64   `json:"max-us"`
}

// Result is the outcome of a load.
type Result struct {
	Service        string       `json:"service"`
	Seed           uint64       `json:"seed"`
	RatePerS       float64      `json:"rate-per-s"`
	SendDurationMS int64        `json:"sent-ms"` // how long the sending took
	Lookups        Counts       `json:"lookups"`
	Bookings       Counts       `json:"bookings"`
	Check          *RecordCheck `json:"check"`   // nil if no upstreams were given
	Samples        []string     `json:"samples"` // descriptions of the first calls of each fault and reason
}

// Total returns a counter summed over lookups and bookings.
func (r Result) Total(counter func(Counts) int) int {
	return counter(r.Lookups) + counter(r.Bookings)
}

// Violations describes the results that a correct system never produces: wrong
// responses, responses without an outcome, and requests whose runs in the records
// contradict the outcomes.
func (r Result) Violations() []string {
	var found []string
	add := func(n int, what string) {
		if n > 0 {
			found = append(found, withCount(n, what))
		}
	}
	add(r.Total(func(c Counts) int { return c.Wrong }), "wrong responses")
	add(r.Total(func(c Counts) int { return c.Unlabelled }), "responses without an outcome")
	if r.Check != nil {
		add(len(r.Check.RanTwice), "keys that ran more than once")
		add(len(r.Check.NotRunRan), "requests reported as not-run that ran")
		add(len(r.Check.DoneNotRan), "requests reported as done that did not run")
	}
	return found
}

// maxSamples bounds the descriptions of calls that a result keeps for each fault,
// reason and kind of violation.
const maxSamples = 5

// resultCollector collects the results of calls.
type resultCollector struct {
	mu           sync.Mutex
	results      []callResult
	counts       map[CallKind]*Counts
	latencies    map[CallKind]*hdrhistogram.Histogram
	sampleCounts map[string]int
	samples      []string
}

func newResultCollector(maxLatency time.Duration) *resultCollector {
	c := &resultCollector{counts: map[CallKind]*Counts{}, latencies: map[CallKind]*hdrhistogram.Histogram{}, sampleCounts: map[string]int{}}
	for _, k := range []CallKind{Lookup, Booking} {
		c.counts[k] = &Counts{Reasons: map[htcall.Reason]int{}}
		c.latencies[k] = hdrhistogram.New(1, max(maxLatency.Microseconds(), 1000), 3)
	}
	return c
}

func (c *resultCollector) add(r callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	c.counts[r.call.kind].add(r)
	c.sample(r)
	if r.outcome == htcall.Done && (r.fault == "" || r.fault == FaultLate) {
		h := c.latencies[r.call.kind]
		// The timeout of a call starts when it is actually sent, so its latency, which
		// counts from the intended send time, can exceed the range of the histogram.
		_ = h.RecordValue(min(r.latency.Microseconds(), h.HighestTrackableValue()))
	}
}

// sample keeps descriptions of the first maxSamples calls of each fault and, among
// calls without a fault, of each outcome other than done and reason.
func (c *resultCollector) sample(r callResult) {
	category := string(r.fault)
	if category == "" && r.outcome != htcall.Done {
		category = string(r.outcome) + " " + string(r.reason)
	}
	if category == "" || c.sampleCounts[category] >= maxSamples {
		return
	}
	c.sampleCounts[category]++
	c.samples = append(c.samples, fmt.Sprintf("%s: %s %s", category, r, r.detail))
}

func (c *Counts) add(r callResult) {
	c.Sent++
	switch r.outcome {
	case htcall.Done:
		c.Done++
	case htcall.NotRun:
		c.NotRun++
	case htcall.Unknown:
		c.Unknown++
	default:
		c.NoOutcome++
	}
	switch r.fault {
	case FaultLate:
		c.Late++
	case FaultCut:
		c.Cut++
	case FaultWrong:
		c.Wrong++
	case FaultNoConn:
		c.NoConn++
	case FaultUnlabelled:
		c.Unlabelled++
	case FaultFailed:
		c.Failed++
	}
	if r.resent {
		c.Resent++
	}
	if r.reason != htcall.ReasonNone {
		c.Reasons[r.reason]++
	}
}

func (c *resultCollector) result(s LoadSettings, sendDuration time.Duration) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Result{
		Service:        s.Service,
		Seed:           s.Seed,
		RatePerS:       s.Rate,
		SendDurationMS: sendDuration.Milliseconds(),
		Lookups:        *c.counts[Lookup],
		Bookings:       *c.counts[Booking],
		Samples:        c.samples,
	}
	r.Lookups.Latency = summarise(c.latencies[Lookup])
	r.Bookings.Latency = summarise(c.latencies[Booking])
	return r
}

func summarise(h *hdrhistogram.Histogram) Latency {
	return Latency{
		MeanUS: h.Mean(),
		P50US:  h.ValueAtQuantile(50),
		P90US:  h.ValueAtQuantile(90),
		P99US:  h.ValueAtQuantile(99),
		P999US: h.ValueAtQuantile(99.9),
		MaxUS:  h.Max(),
	}
}
