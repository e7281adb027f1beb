package hthedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latePercentile is the percentile of the recent calls of a route beyond which a call is
	// late.
	latePercentile = 95
	// windowCalls is the number of calls of which the percentile is taken. Five of them lie
	// beyond it.
	windowCalls = 100
	// initialLateFactor applies to routes with less than windowCalls calls.
	initialLateFactor = 2.0
	// minLateFactor and maxLateFactor bound the percentile. Where work times hardly vary, it
	// lies among the calls that are about to end, whose second sends are wasted; where more
	// than one call in twenty is very slow, it is the time of the slow ones.
	minLateFactor = 1.5
	maxLateFactor = 3.0
	// maxRecordedFactor is the largest recorded factor, and factorDigits the number of
	// significant digits. A histogram takes 1.4 KB.
	maxRecordedFactor = 64
	factorDigits      = 1
	percentPerFactor  = 100
)

// Lateness tracks how long the calls of a route take, as a factor of the time that was
// expected when each was sent. The expected time holds the work time of the route and the
// work time factor that the upstream reported, so a slow upstream that says so makes no call
// late.
type Lateness struct {
	window *hdrhistogram.Histogram // factors in percent
	factor float64
}

// NewLateness returns a Lateness without calls.
func NewLateness() *Lateness {
	return &Lateness{
		window: hdrhistogram.New(1, maxRecordedFactor*percentPerFactor, factorDigits),
		factor: initialLateFactor,
	}
}

// Add records a call that took some time. A call that was canceled because a second send
// answered first is recorded with the time until then; without these calls, the percentile
// would fall with each hedge and cause more of them.
func (l *Lateness) Add(took, expected time.Duration) {
	factor := float64(took) / float64(max(expected, 1))
	percent := int64(percentPerFactor * min(max(factor, 0), maxRecordedFactor))
	if l.window.RecordValue(percent) != nil {
		return // unreachable, since the factor is bounded
	}
	if l.window.TotalCount() < windowCalls {
		return
	}
	late := float64(l.window.ValueAtPercentile(latePercentile)) / percentPerFactor
	l.factor = min(max(late, minLateFactor), maxLateFactor)
	l.window.Reset()
}

// Factor returns the factor of the expected time after which a call is late.
func (l *Lateness) Factor() float64 { return l.factor }

// After returns the time after which a call is late.
func (l *Lateness) After(expected time.Duration) time.Duration {
	return time.Duration(l.factor * float64(expected))
}
