package htlab

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornturn/core/htcall"
)

// Counts says how the calls of one kind ended.
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
	Resent     int                   `json:"resent"` // sent again by net/http after a reused connection broke
	Reasons    map[htcall.Reason]int `json:"reasons"`
	Latency    Latency               `json:"latency"` // of whole answers with outcome done
}

// Latency summarises times since the intended send time, in microseconds.
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
	SendDurationMS int64        `json:"sent-ms"` // time that the sending took
	Lookups        Counts       `json:"lookups"`
	Bookings       Counts       `json:"bookings"`
	Check          *RecordCheck `json:"check"`   // nil if no upstreams were named
	Samples        []string     `json:"samples"` // descriptions of the first calls of each fault and reason
}

// Total returns a counter summed over lookups and bookings.
func (r Result) Total(counter func(Counts) int) int {
	return counter(r.Lookups) + counter(r.Bookings)
}

// Violations lists what a correct system never does: wrong answers, answers
// without an outcome, and everything that the check found.
func (r Result) Violations() []string {
	var found []string
	note := func(n int, what string) {
		if n > 0 {
			found = append(found, plural(n, what))
		}
	}
	note(r.Total(func(c Counts) int { return c.Wrong }), "wrong answers")
	note(r.Total(func(c Counts) int { return c.Unlabelled }), "answers without an outcome")
	if r.Check != nil {
		note(len(r.Check.RanTwice), "keys that ran more than once")
		note(len(r.Check.NotRunRan), "requests told not-run that ran")
		note(len(r.Check.DoneNotRan), "requests told done that did not run")
	}
	return found
}

// maxSamples bounds the descriptions that a result keeps of each kind.
const maxSamples = 5

// tally collects verdicts.
type tally struct {
	mu       sync.Mutex
	verdicts []verdict
	counts   map[CallKind]*Counts
	times    map[CallKind]*hdrhistogram.Histogram
	sampled  map[string]int
	samples  []string
}

func newTally(longest time.Duration) *tally {
	t := &tally{counts: map[CallKind]*Counts{}, times: map[CallKind]*hdrhistogram.Histogram{}, sampled: map[string]int{}}
	for _, k := range []CallKind{Lookup, Booking} {
		t.counts[k] = &Counts{Reasons: map[htcall.Reason]int{}}
		t.times[k] = hdrhistogram.New(1, max(longest.Microseconds(), 1000), 3)
	}
	return t
}

func (t *tally) add(v verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdicts = append(t.verdicts, v)
	t.counts[v.call.kind].add(v)
	t.sample(v)
	if v.outcome == htcall.Done && (v.fault == "" || v.fault == FaultLate) {
		h := t.times[v.call.kind]
		// The call's context bounds the latency except for the time between the
		// intended and the actual sending.
		_ = h.RecordValue(min(v.latency.Microseconds(), h.HighestTrackableValue()))
	}
}

// sample describes the first calls of each fault and of each reason other than for
// outcome done.
func (t *tally) sample(v verdict) {
	what := string(v.fault)
	if what == "" && v.outcome != htcall.Done {
		what = string(v.outcome) + " " + string(v.reason)
	}
	if what == "" || t.sampled[what] >= maxSamples {
		return
	}
	t.sampled[what]++
	t.samples = append(t.samples, fmt.Sprintf("%s: %s %s", what, v, v.detail))
}

func (c *Counts) add(v verdict) {
	c.Sent++
	switch v.outcome {
	case htcall.Done:
		c.Done++
	case htcall.NotRun:
		c.NotRun++
	case htcall.Unknown:
		c.Unknown++
	default:
		c.NoOutcome++
	}
	switch v.fault {
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
	if v.resent {
		c.Resent++
	}
	if v.reason != htcall.ReasonNone {
		c.Reasons[v.reason]++
	}
}

func (t *tally) result(s LoadSettings, sending time.Duration) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{
		Service:        s.Service,
		Seed:           s.Seed,
		RatePerS:       s.Rate,
		SendDurationMS: sending.Milliseconds(),
		Lookups:        *t.counts[Lookup],
		Bookings:       *t.counts[Booking],
		Samples:        t.samples,
	}
	r.Lookups.Latency = summarise(t.times[Lookup])
	r.Bookings.Latency = summarise(t.times[Booking])
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
