package htrelay

import (
	"math"
	"time"
)

const (
	// pressureMemory is the time constant with which calls are forgotten. A burst lasts for
	// some seconds.
	pressureMemory = 2 * time.Second
	// pressurePrior is the number of calls without a wait that are assumed beside those that
	// are remembered, so that a call or two say little.
	pressurePrior = 1.0
	// overloadPressure is the share of calls that have to wait from which a service counts
	// as overloaded.
	overloadPressure = 0.4
)

// pressure tells how many of the recent calls to a service had to wait for an upstream.
type pressure struct {
	calls float64
	waits float64
	at    time.Time
}

// entered takes in whether a call had to wait.
func (p *pressure) entered(now time.Time, waits bool) {
	p.fade(now)
	p.calls++
	if waits {
		p.waits++
	}
}

func (p *pressure) fade(now time.Time) {
	if !p.at.IsZero() {
		kept := math.Exp(-float64(now.Sub(p.at)) / float64(pressureMemory))
		p.calls *= kept
		p.waits *= kept
	}
	p.at = now
}

// share returns the share of the recent calls that had to wait.
func (p *pressure) share(now time.Time) float64 {
	p.fade(now)
	return p.waits / (p.calls + pressurePrior)
}

// overloaded reports whether the calls that can still be on time need all upstreams. It
// answers the load of a burst while upstreams are lost: hosts don't know of each other's
// waiting calls, and a late call on one would take the place of one on another that can be
// on time. Late calls then wait until the pressure falls or their wait is over.
func (p *pressure) overloaded(now time.Time) bool { return p.share(now) >= overloadPressure }
