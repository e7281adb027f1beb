package htmodel

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the result of a request as seen by its caller.
type outcome int

const (
	done    outcome = iota
	refused         // informed before the deadline that the request did not run
	late            // no answer before the deadline
)

// Maximum value of the histogram of added time, in microseconds, and its number of
// significant digits.
const (
	histogramMax    = int64(10 * time.Second / time.Microsecond)
	histogramDigits = 3
)

// The probe budget of htresource.DefaultProbesPerSec, in probes per second and upstream.
const (
	probeRate  = 1.0
	probeBurst = 1.0
)

// record holds the counters and the histogram of a run.
type record struct {
	arrivals        int
	outcomes        [3]int
	doneAfterWarmUp int // done, of the requests that arrived after the warm-up
	earlyAnswers    int // done sooner than the work takes, which is a bug in the model
	addedTime       *hdrhistogram.Histogram

	attempts      int
	hedges        int
	retries       int
	redirects     int // calls forwarded to another shard on arrival
	stealRequests int // requests for a call by shards with free slots
	stolenCalls   int // calls sent in answer to these

	starts                int
	startsBeyondSlots     int // starts that exceeded the slots of the upstream
	maxInFlight           int // on one upstream
	startsOnCold          int // starts on a cold upstream
	maxInFlightCold       int // on one cold upstream
	startsBeyondCold      int // starts that exceeded coldLimit on a cold upstream
	startsBeyondKnownCold int // of these, sent after an answer had reported the cold state
	startsAfterDomainOut  int // starts in a failure domain that had been out for longer than domainOutGrace

	probes           int
	probesOverBudget int // probes beyond the budget
	probeTokens      []float64
	probeUpdated     []time.Duration
}

func newRecord(w Workload) record {
	r := record{
		addedTime:    hdrhistogram.New(1, histogramMax, histogramDigits),
		probeTokens:  make([]float64, w.Upstreams),
		probeUpdated: make([]time.Duration, w.Upstreams),
	}
	for u := range r.probeTokens {
		r.probeTokens[u] = probeBurst
	}
	return r
}

// addOutcome counts an outcome. A request that was not done in time counts with the
// whole timeout as added time, so that refusing calls does not improve the percentiles.
func (r *record) addOutcome(o outcome, now time.Duration, req *request) {
	r.outcomes[o]++
	if req.at < warmUp {
		return
	}
	addedTime := timeout
	if o == done {
		r.doneAfterWarmUp++
		addedTime = now - req.at - req.work
		if addedTime < 0 {
			r.earlyAnswers++
		}
	}
	// The value is at least 0 and at most the timeout, so it fits.
	_ = r.addedTime.RecordValue(max(0, addedTime.Microseconds()))
}

// addStart counts the start of an attempt that was just added to u.
func (r *record) addStart(u *upstream, coldReported bool) {
	n := len(u.running)
	r.starts++
	r.maxInFlight = max(r.maxInFlight, n)
	if n > u.slots {
		r.startsBeyondSlots++
	}
	if !u.cold {
		return
	}
	r.startsOnCold++
	r.maxInFlightCold = max(r.maxInFlightCold, n)
	if n > coldLimit {
		r.startsBeyondCold++
		if coldReported {
			r.startsBeyondKnownCold++
		}
	}
}

// addProbe counts a probe and checks it against a token bucket that is independent of
// the one in the policy.
func (r *record) addProbe(u int, now time.Duration) {
	r.probes++
	tokens := r.probeTokens[u] + probeRate*(now-r.probeUpdated[u]).Seconds()
	tokens = min(tokens, probeBurst)
	r.probeUpdated[u] = now
	// The tolerance of half a token absorbs rounding; a probe over budget takes a whole
	// token.
	if tokens < 0.5 {
		r.probesOverBudget++
	}
	r.probeTokens[u] = tokens - 1
}
