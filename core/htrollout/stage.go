package htrollout

import (
	"time"
)

// Stage is how far a roll-out has come. Stages of one order only grow, and hosts take over the
// highest one that they hear of, so that it doesn't matter which host decides first.
type Stage uint8

// The stages. Undone and Done are those that the store has confirmed; its conditional write
// lets an order reach only one of them.
const (
	Canary   Stage = iota + 1 // a small share of the calls goes to the target version
	Ramp                      // a larger share, to see it under load
	Full                      // all calls go to the target version
	Rejected                  // the target version gets no calls
	Undone                    // and the status says so
	Done                      // the other versions may stop
)

// String returns the name of a stage for logs.
func (s Stage) String() string {
	switch s {
	case Canary:
		return "canary"
	case Ramp:
		return "ramp"
	case Full:
		return "full"
	case Rejected:
		return "rejected"
	case Undone:
		return "rolled-back"
	case Done:
		return "completed"
	}
	return "unknown"
}

// Final reports whether the store has confirmed the end of the order.
func (s Stage) Final() bool { return s == Undone || s == Done }

const (
	// canaryShare is the part of the exposure limits that is used until the version is judged.
	// The rest is for the steps after that.
	canaryShare = 0.45
	// canarySlack is the part of the slack that is used at once, for first answers of the
	// target version within a moment.
	canarySlack = 0.4
	// rampShare is the share of the calls in the stage Ramp.
	rampShare = 0.2
	// minRampTime is the least length of the stage Ramp.
	minRampTime = 1300 * time.Millisecond
	// confirmTime is the time for which messages between hosts and the write to the store are
	// given at the end of a roll-out.
	confirmTime = 700 * time.Millisecond
	// lagShare is the share of the duration by which hosts may have learned of the order late.
	lagShare = 0.05
	// maxFinishShare bounds the share of the duration that is kept for the end.
	maxFinishShare = 0.5
	// minFullJudged is the number of judged sends in the stage Full before the other versions
	// may stop, so that failures under full load show. minFullTime is the least time for that,
	// and statusTime the time before the end of the duration at which no more are awaited.
	minFullJudged = 60
	minFullTime   = 600 * time.Millisecond
	statusTime    = 500 * time.Millisecond
	// minJudged is the number of judged sends from which a version without an alarm counts as
	// good. docs/design/rollouts.md has the probabilities.
	minJudged = 40
	// isolationTime is the time without a report of another host after which this one doesn't
	// use a version that isn't judged yet: the others may have rolled it back.
	isolationTime = 2 * time.Second
	// silentTime is the time without a report after which a host isn't waited for at the end.
	silentTime = 4 * time.Second
	// unknownServiceTime is how long an order waits for a configuration that names its service.
	unknownServiceTime = 3 * time.Second
	// turnTime is how long the same upstreams of the target version get the calls of a small
	// share, so that one faulty upstream does not decide.
	turnTime = 1500 * time.Millisecond
)

// rampTime returns the least length of the stage Ramp, in which answers to its calls come back.
func rampTime(usual time.Duration) time.Duration { return minRampTime + usual/2 }

// finishTime returns the time that is kept for the stages after Canary. Usual is the time
// within which most calls of the service end.
func finishTime(duration, usual time.Duration) time.Duration {
	needed := rampTime(usual) + confirmTime + usual + time.Duration(lagShare*float64(duration))
	return min(needed, time.Duration(maxFinishShare*float64(duration)))
}
