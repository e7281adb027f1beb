package htmodel

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request ended for its caller.
type outcome int

const (
	done    outcome = iota
	refused         // told in time that the request did not run
	late            // no answer before the deadline
)

// Bounds of the histogram of added time, in microseconds.
const (
	histogramMax    = int64(10 * time.Second / time.Microsecond)
	histogramDigits = 3
)

// The probe budget of htresource.DefaultProbesPerSec, in probes a second and upstream.
const (
	probeRate  = 1.0
	probeBurst = 1.0
)

// record counts what happens in a run.
type record struct {
	arrivals   int
	outcomes   [3]int
	doneInTime int // done, without the warm-up
	tooEarly   int // answers before the work can have been done; a fault of the model
	added      *hdrhistogram.Histogram

	attempts  int
	hedges    int
	retries   int
	redirects int // calls passed on to another shard on arrival
	steals    int // questions of idle shards
	stolen    int // calls handed to an idle shard

	starts          int
	overStarts      int // starts that put an upstream beyond its slots
	highest         int // in flight on one upstream
	coldStarts      int // starts on a cold upstream
	coldHighest     int // in flight on a cold upstream
	coldOver        int // starts that put a cold upstream beyond what it bears
	coldOverKnown   int // of these, sent after an answer had said that it is cold
	domainOutStarts int // starts in a failure domain that was out for longer than domainOutMax

	probes       int
	probeOver    int // probes beyond the budget
	probeTokens  []float64
	probeUpdated []time.Duration
}

func newRecord(w Workload) record {
	r := record{
		added:        hdrhistogram.New(1, histogramMax, histogramDigits),
		probeTokens:  make([]float64, w.Upstreams),
		probeUpdated: make([]time.Duration, w.Upstreams),
	}
	for u := range r.probeTokens {
		r.probeTokens[u] = probeBurst
	}
	return r
}

// end counts an outcome. A request that was not done in time counts with the whole
// timeout as added time, so that refusing calls does not improve the percentiles.
func (r *record) end(o outcome, now time.Duration, q *request) {
	r.outcomes[o]++
	if q.at < warmUp {
		return
	}
	added := timeout
	if o == done {
		r.doneInTime++
		added = now - q.at - q.work
		if added < 0 {
			r.tooEarly++
		}
	}
	// The value is at least 0 and at most the timeout, so it fits.
	_ = r.added.RecordValue(max(0, added.Microseconds()))
}

// started counts a start. It is called after the attempt was added to u.
func (r *record) started(u *upstream, coldKnown bool) {
	n := len(u.running)
	r.starts++
	r.highest = max(r.highest, n)
	if n > u.slots {
		r.overStarts++
	}
	if !u.cold {
		return
	}
	r.coldStarts++
	r.coldHighest = max(r.coldHighest, n)
	if n > coldBears {
		r.coldOver++
		if coldKnown {
			r.coldOverKnown++
		}
	}
}

// probed counts a probe and checks it against a token bucket of its own.
func (r *record) probed(u int, now time.Duration) {
	r.probes++
	tokens := r.probeTokens[u] + probeRate*(now-r.probeUpdated[u]).Seconds()
	tokens = min(tokens, probeBurst)
	r.probeUpdated[u] = now
	// Half a token of tolerance absorbs rounding; a probe too many costs a whole one.
	if tokens < 0.5 {
		r.probeOver++
	}
	r.probeTokens[u] = tokens - 1
}
