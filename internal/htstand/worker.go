package htstand

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// workSpread is the sigma of the log-normal work times. At 0.5 the 99th
	// percentile is 2.8 times the mean.
	workSpread = 0.5
	// coldFactor slows down a cold upstream within its cold limit.
	coldFactor = 2
	// collapseFactor slows down a cold upstream for each request above its cold
	// limit, so that full load collapses it.
	collapseFactor = 10
	// recentWeight is the weight of the latest work time in the reported mean.
	recentWeight = 0.2
	// loadHistory is the number of load changes kept for the lagging endpoints. At
	// 1,000 changes a second it reaches back 8 s.
	loadHistory = 8192
)

// loadAt is the load from a point in time on.
type loadAt struct {
	from time.Time
	load Load
}

// worker is the state of an upstream apart from its connections.
type worker struct {
	settings UpstreamSettings
	slots    chan struct{} // holds one token for each request that is being worked on

	mu            sync.Mutex
	random        *rand.Rand
	faults        UpstreamFaults
	record        Record
	inFlight      int
	openConns     int
	coldUntil     time.Time
	drainingSince time.Time
	recentWork    time.Duration
	history       []loadAt
	journal       *journal // nil if there is none
}

func newWorker(s UpstreamSettings, now time.Time) *worker {
	w := &worker{
		settings:   s,
		slots:      make(chan struct{}, s.Slots),
		random:     rand.New(rand.NewPCG(s.Seed, 0)),
		record:     newRecord(s),
		coldUntil:  now.Add(s.ColdDuration),
		recentWork: s.Work,
	}
	w.noteLoad(now)
	return w
}

// refusal says why a request was not started. Empty means that it was.
type refusal string

const (
	refusedDraining refusal = "draining"
	refusedShedding refusal = "shedding load"
	refusedLimit    refusal = "over the hard limit"
	refusedLate     refusal = "deadline passed"
)

// arrive takes a request in or refuses it. After an empty refusal, leave must be
// called.
func (w *worker) arrive(now time.Time) refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.received(now, w.drainingSince)
	if why := w.refuse(); why != "" {
		w.record.Refused++
		return why
	}
	w.inFlight++
	w.record.accepted(w.inFlight, w.cold(now))
	w.noteLoad(now)
	return ""
}

func (w *worker) refuse() refusal {
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

// begin notes that the work of a request begins and returns how long it takes.
// A mean above zero replaces the mean of the settings. It returns an error if the
// run could not be written to the journal; the work must not begin then.
func (w *worker) begin(now time.Time, r run, mean time.Duration) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.journal != nil {
		if err := w.journal.append(r); err != nil {
			return 0, err
		}
	}
	w.record.started(r)
	return w.workTime(now, mean), nil
}

// useJournal counts the runs that j holds and appends later ones to it.
func (w *worker) useJournal(j *journal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal = j
	for _, r := range j.earlier {
		w.record.started(r)
	}
}

func (w *worker) workTime(now time.Time, mean time.Duration) time.Duration {
	if mean <= 0 {
		mean = w.settings.Work
	}
	factor := math.Exp(workSpread*w.random.NormFloat64() - workSpread*workSpread/2)
	if w.faults.SlowFactor > 0 {
		factor *= w.faults.SlowFactor
	}
	if w.cold(now) {
		factor *= coldFactor
		if over := w.inFlight - w.settings.ColdLimit; over > 0 {
			factor *= collapseFactor * float64(over)
		}
	}
	return time.Duration(factor * float64(mean))
}

// ending says how the stay of an accepted request ended.
type ending int

const (
	endFinished ending = iota
	endCanceled
	endExpired
	endRefusedLate
	endCrashed
)

// leave ends the stay of an accepted request.
func (w *worker) leave(now time.Time, how ending, work time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	switch how {
	case endFinished:
		w.record.Finished++
		w.recentWork += time.Duration(recentWeight * float64(work-w.recentWork))
	case endCanceled:
		w.record.Canceled++
	case endExpired:
		w.record.Expired++
	case endRefusedLate:
		w.record.Refused++
		w.record.RefusedLate++
	}
	w.noteLoad(now)
}

// cold reports whether the upstream is cold. The caller holds mu.
func (w *worker) cold(now time.Time) bool {
	return now.Before(w.coldUntil)
}

// goCold makes the upstream cold for a time.
func (w *worker) goCold(now time.Time, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = now.Add(d)
	w.noteLoad(now)
}

// setFaults changes the faults by edit. It changes nothing if edit fails or the
// result does not pass its check.
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
	w.noteLoad(now)
	return nil
}

// load returns the load as the upstream reports it with an answer.
func (w *worker) load(now time.Time) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loadNow(now)
}

func (w *worker) loadNow(now time.Time) Load {
	l := Load{State: StateWarm, Slots: w.settings.Slots, InFlight: w.inFlight, WorkMS: w.recentWork.Milliseconds()}
	if w.cold(now) && !w.faults.HideCold {
		l.State = StateCold
	}
	if w.faults.Draining && !w.faults.HideDraining {
		l.State = StateDraining
	}
	return l
}

func (w *worker) noteLoad(now time.Time) {
	w.history = append(w.history, loadAt{from: now, load: w.loadNow(now)})
	if len(w.history) > 2*loadHistory {
		w.history = append([]loadAt{}, w.history[loadHistory:]...)
	}
}

// probe notes a request to the health or load endpoint and returns what it says:
// the lie if there is one, else the load as it was before the lag.
func (w *worker) probe(now time.Time) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Probes = append(w.record.Probes, now.UnixMilli())
	if w.faults.ReportedLoad != nil {
		return *w.faults.ReportedLoad
	}
	lag := max(w.settings.LoadLag, milliseconds(w.faults.LoadLagMS))
	if lag == 0 {
		return w.loadNow(now)
	}
	return w.loadBefore(now.Add(-lag))
}

// loadBefore returns the last load noted at or before a time, or the oldest kept.
func (w *worker) loadBefore(at time.Time) Load {
	for i := len(w.history) - 1; i > 0; i-- {
		if !w.history[i].from.After(at) {
			return w.history[i].load
		}
	}
	return w.history[0].load
}

// takeCut reports whether the next answer is to break off.
func (w *worker) takeCut() bool {
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
