package htselect

import (
	"time"

	"hawthornturn/core/htcatalog"
)

// Observation is what an upstream said of itself, or that it said nothing.
type Observation struct {
	Upstream        htcatalog.Ref
	WorkTimePercent int // how long work takes now, in percent of the usual; 0 if not told
	Running         int
	Waiting         int
	Slots           int
	Cold            time.Duration // how long the upstream stays cold
	ColdKnown       bool          // the upstream told Cold; answers to calls do not
	Down            bool          // it accepts no connection, or does not answer
	Gone            bool          // down, and not for this host alone: nothing listens at its address, or another upstream does
	Unhealthy       bool          // its health path reports a failure
}

// State names what the observation says of whether the upstream can be used.
func (o Observation) State() string {
	switch {
	case o.Down:
		return "down"
	case o.Cold > 0:
		return "cold"
	case o.Unhealthy:
		return "ill"
	}
	return "usable"
}

// Differs reports whether o changes a choice that was made by p, so that calls under way
// are to look again.
func (o Observation) Differs(p Observation) bool {
	switch {
	case o.Down != p.Down, o.Unhealthy != p.Unhealthy, (o.Cold > 0) != (p.Cold > 0):
		return true
	case (o.Running+o.Waiting >= o.Slots) != (p.Running+p.Waiting >= p.Slots):
		return true
	}
	a, b := max(o.WorkTimePercent, 1), max(p.WorkTimePercent, 1)
	return a*speedStep > b*100 || b*speedStep > a*100
}

// speedStep is the change of the speed, in percent, because of which calls under way look
// for another upstream.
const speedStep = 135

// Fault is a failure that a call showed, as told to other hosts.
type Fault struct {
	Upstream htcatalog.Ref
	Weight   float64
}

// Weights of faults, in failed calls.
const (
	FaultError          = 1.0 // the upstream failed, broke off or spoilt an answer
	FaultConnectTimeout = 1.0 // no connection in time
	// FaultTimeout is for a call that did not end in its time, which is as likely the
	// call's fault as the upstream's.
	FaultTimeout = 0.2
	FaultSlow    = 0.4 // much slower than its report said
)
