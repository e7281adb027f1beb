package htstand

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// workTimeSigma is the sigma of the log-normal work times. At 0.5 the 99th
	// percentile is 2.8 times the mean.
	workTimeSigma = 0.5
	// coldSlowdown multiplies the work times of a cold upstream.
	coldSlowdown = 2
	// coldOverloadSlowdown, times the number of requests in flight above the cold
	// limit, also multiplies the work times of a cold upstream, so that full load
	// makes the upstream unusable.
	coldOverloadSlowdown = 10
	// workTimeWeight is the weight of the latest work time in the exponentially
	// weighted mean that the upstream reports.
	workTimeWeight = 0.2
	// minLoadSamples is the number of load samples that are kept for load reports with
	// a lag. At 1,000 load changes a second they cover the last 8 s.
	minLoadSamples = 8192
)

// loadSample is the load from a point in time until the next sample.
type loadSample struct {
	at   time.Time
	load Load
}

// worker is the state of an upstream except for its connections.
type worker struct {
	settings UpstreamSettings
	slots    chan struct{} // semaphore: one element per request whose work is in progress

	mu            sync.Mutex
	random        *rand.Rand
	faults        UpstreamFaults
	record        Record
	inFlight      int
	openConns     int
	coldUntil     time.Time
	drainingSince time.Time
	meanWorkTime  time.Duration
	loadHistory   []loadSample
	journal       *journal // nil if no journal is configured
}

func newWorker(s UpstreamSettings, now time.Time) *worker {
	w := &worker{
		settings:     s,
		slots:        make(chan struct{}, s.Slots),
		random:       rand.New(rand.NewPCG(s.Seed, 0)),
		record:       newRecord(s),
		coldUntil:    now.Add(s.ColdDuration),
		meanWorkTime: s.Work,
	}
	w.recordLoad(now)
	return w
}

// refusalReason is the reason why a request was not started. It is empty for a
// request that was accepted.
type refusalReason string

const (
	refusedDraining refusalReason = "draining"
	refusedShedding refusalReason = "shedding load"
	refusedLimit    refusalReason = "hard limit reached"
	refusedDeadline refusalReason = "deadline passed"
)

// admit accepts or refuses a work request. If it returns an empty reason, the request
// is in flight until finish is called.
func (w *worker) admit(now time.Time) refusalReason {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.countReceived(now, w.drainingSince)
	if reason := w.checkRefusal(); reason != "" {
		w.record.Refused++
		return reason
	}
	w.inFlight++
	w.record.countAccepted(w.inFlight, w.cold(now))
	w.recordLoad(now)
	return ""
}

func (w *worker) checkRefusal() refusalReason {
	switch {
	case w.faults.Draining:
		return refusedDraining
	case w.faults.ShedShare > 0 && w.random.Float64() < w.faults.ShedShare:
		return refusedShedding
	case w.settings.HardLimit > 0 && w.inFlight >= w.settings.HardLimit:
		return refusedLimit
	}
	return ""
}

// startWork records that the work of a request starts and returns its duration. A
// mean above zero replaces the mean of the settings. It returns an error if the run
// could not be written to the journal; the work must then not be started.
func (w *worker) startWork(now time.Time, r run, mean time.Duration) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.journal != nil {
		if err := w.journal.append(r); err != nil {
			return 0, err
		}
	}
	w.record.countStarted(r)
	return w.workTime(now, mean), nil
}

// setJournal counts the runs already in j as runs of this upstream and makes
// startWork append to j.
func (w *worker) setJournal(j *journal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal = j
	for _, r := range j.previousRuns {
		w.record.countStarted(r)
	}
}

func (w *worker) workTime(now time.Time, mean time.Duration) time.Duration {
	if mean <= 0 {
		mean = w.settings.Work
	}
	factor := math.Exp(workTimeSigma*w.random.NormFloat64() - workTimeSigma*workTimeSigma/2)
	if w.faults.SlowFactor > 0 {
		factor *= w.faults.SlowFactor
	}
	if w.cold(now) {
		factor *= coldSlowdown
		if over := w.inFlight - w.settings.ColdLimit; over > 0 {
			factor *= coldOverloadSlowdown * float64(over)
		}
	}
	return time.Duration(factor * float64(mean))
}

// workResult is the way in which an accepted request ended.
type workResult int

const (
	resultFinished workResult = iota
	resultCanceled
	resultExpired
	resultRefusedDeadline
	resultCrashed
)

// finish removes an accepted request from the requests in flight and counts its
// result. work is used only for resultFinished.
func (w *worker) finish(now time.Time, result workResult, work time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	switch result {
	case resultFinished:
		w.record.Finished++
		w.meanWorkTime += time.Duration(workTimeWeight * float64(work-w.meanWorkTime))
	case resultCanceled:
		w.record.Canceled++
	case resultExpired:
		w.record.Expired++
	case resultRefusedDeadline:
		w.record.Refused++
		w.record.RefusedLate++
	}
	w.recordLoad(now)
}

// cold reports whether the upstream is cold. The caller holds mu.
func (w *worker) cold(now time.Time) bool {
	return now.Before(w.coldUntil)
}

// setCold makes the upstream cold until d has passed.
func (w *worker) setCold(now time.Time, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = now.Add(d)
	w.recordLoad(now)
}

// setFaults applies edit to the current faults. It changes nothing if edit fails or
// the result does not pass UpstreamFaults.Check.
func (w *worker) setFaults(now time.Time, edit func(*UpstreamFaults) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.faults.clone()
	if err := edit(&next); err != nil {
		return err
	}
	if err := next.Check(); err != nil {
		return err
	}
	w.faults = next
	switch {
	case !next.Draining:
		w.drainingSince = time.Time{}
	case w.drainingSince.IsZero():
		w.drainingSince = now
	}
	w.recordLoad(now)
	return nil
}

// load returns the load that the upstream reports in response headers.
func (w *worker) load(now time.Time) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.currentLoad(now)
}

func (w *worker) currentLoad(now time.Time) Load {
	l := Load{State: StateWarm, Slots: w.settings.Slots, InFlight: w.inFlight, WorkMS: w.meanWorkTime.Milliseconds()}
	if w.cold(now) && !w.faults.HideCold {
		l.State = StateCold
	}
	if w.faults.Draining && !w.faults.HideDraining {
		l.State = StateDraining
	}
	return l
}

func (w *worker) recordLoad(now time.Time) {
	w.loadHistory = append(w.loadHistory, loadSample{at: now, load: w.currentLoad(now)})
	if len(w.loadHistory) > 2*minLoadSamples {
		w.loadHistory = append([]loadSample{}, w.loadHistory[minLoadSamples:]...)
	}
}

// probe records a request to the health or load endpoint and returns the load that
// the endpoint reports: faults.ReportedLoad if set, else the load as of one lag ago.
// The lag is the longer one of the settings and the faults.
func (w *worker) probe(now time.Time) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Probes = append(w.record.Probes, now.UnixMilli())
	if w.faults.ReportedLoad != nil {
		return *w.faults.ReportedLoad
	}
	lag := max(w.settings.LoadLag, milliseconds(w.faults.LoadLagMS))
	if lag == 0 {
		return w.currentLoad(now)
	}
	return w.loadAsOf(now.Add(-lag))
}

// loadAsOf returns the last load recorded at or before a point in time, or the oldest
// one kept if there is none.
func (w *worker) loadAsOf(at time.Time) Load {
	for i := len(w.loadHistory) - 1; i > 0; i-- {
		if !w.loadHistory[i].at.After(at) {
			return w.loadHistory[i].load
		}
	}
	return w.loadHistory[0].load
}

// takeTruncation reports whether the next response must be truncated, and decrements
// the number of responses to truncate.
func (w *worker) takeTruncation() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.TruncateResponses == 0 {
		return false
	}
	w.faults.TruncateResponses--
	return true
}

// countConn adds delta to the number of open connections.
func (w *worker) countConn(delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openConns += delta
	if delta > 0 {
		w.record.Connections++
		w.record.MaxConnections = max(w.record.MaxConnections, w.openConns)
	}
}

func (w *worker) countCrash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Crashes++
}
