package htrelay

import (
	"math"
	"time"
)

const (
	// pressureDecay is the time constant with which past calls lose weight. A burst lasts
	// for some seconds.
	pressureDecay = 2 * time.Second
	// pressurePrior is the number of calls without a wait that are added to the recent
	// ones, so that one or two calls have little effect.
	pressurePrior = 1.0
	// overloadPressure is the share of waiting calls from which a service counts as
	// overloaded.
	overloadPressure = 0.4
)

// pressure tracks the share of the recent calls to a service that had to wait for an
// upstream.
type pressure struct {
	calls float64
	waits float64
	at    time.Time
}

// record counts a call and whether it had to wait.
func (p *pressure) record(now time.Time, waits bool) {
	p.decay(now)
	p.calls++
	if waits {
		p.waits++
	}
}

func (p *pressure) decay(now time.Time) {
	if !p.at.IsZero() {
		kept := math.Exp(-float64(now.Sub(p.at)) / float64(pressureDecay))
		p.calls *= kept
		p.waits *= kept
	}
	p.at = now
}

// share returns the share of the recent calls that had to wait.
func (p *pressure) share(now time.Time) float64 {
	p.decay(now)
	return p.waits / (p.calls + pressurePrior)
}

// overloaded reports whether late calls must leave the upstreams to calls that can still be
// on time. This matters in a burst while upstreams are lost: hosts don't know of each
// other's waiting calls, and a late call on one host would take the place of a call on
// another that can be on time. Late calls then wait until the pressure falls or their wait
// ends.
func (p *pressure) overloaded(now time.Time) bool { return p.share(now) >= overloadPressure }
