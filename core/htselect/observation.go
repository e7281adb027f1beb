package htselect

import (
	"time"

	"hawthornturn/core/htcatalog"
)

// Observation is the state that an upstream reported, or the fact that it did not respond.
type Observation struct {
	Upstream        htcatalog.Ref
	WorkTimePercent int // work time now, in percent of the usual; 0 if not reported
	Running         int
	Waiting         int
	Slots           int
	Cold            time.Duration // remaining cold start
	ColdKnown       bool          // the report includes Cold; answers to calls do not
	Down            bool          // the upstream accepts no connection or does not answer
	Gone            bool          // down for all hosts: nothing listens at the address, or another upstream does
	Unhealthy       bool          // its health path reports a failure
	Notice          Notice
}

// State returns the availability of the upstream: down, cold, ill or usable.
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

// Differs reports whether o differs so much from p, the report that a choice was based on,
// that in-flight calls at the upstream are to be reconsidered.
func (o Observation) Differs(p Observation) bool {
	switch {
	case o.Down != p.Down, o.Unhealthy != p.Unhealthy, (o.Cold > 0) != (p.Cold > 0):
		return true
	case (o.Running+o.Waiting >= o.Slots) != (p.Running+p.Waiting >= p.Slots):
		return true
	}
	a, b := max(o.WorkTimePercent, 1), max(p.WorkTimePercent, 1)
	return a*workTimeChange > b*100 || b*workTimeChange > a*100
}

// workTimeChange is the ratio of two work times, in percent, above which in-flight calls
// are reconsidered.
const workTimeChange = 135

// Fault is a failure seen on a call, as sent to other hosts.
type Fault struct {
	Upstream htcatalog.Ref
	Weight   float64
}

// Weights of faults, in units of a failed call.
const (
	FaultError          = 1.0 // the upstream returned an error or an incomplete or invalid answer
	FaultConnectTimeout = 1.0 // no connection within the connect timeout
	// FaultTimeout is the weight of a call that did not complete within its deadline, which
	// is as likely due to the call as to the upstream.
	FaultTimeout = 0.2
	FaultSlow    = 0.4 // the answer took much longer than expected
)
