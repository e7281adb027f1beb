package htrelay

import (
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htselect"
)

// Decision is a step on the way of a call, with the inputs that decided it: Sending,
// Waiting, Failing or Staying.
type Decision interface{ decision() }

// Sent means that the call is sent to an upstream.
type Sent struct {
	Choice *htselect.Choice
	Cause  Cause
	Number int // of the send, from 1
	Left   time.Duration
}

// Queued means that the call waits on this host because no upstream is good enough.
type Queued struct {
	Choice         *htselect.Choice // the best one, or nil
	Reason         htcall.Reason    // why there is none
	Ahead          int              // calls that wait before it
	Left           time.Duration
	UpstreamCounts htselect.UpstreamCounts
	// Pressure is the share of the recent calls to the service that had to wait.
	Pressure float64
}

// SendFailed means that a send brought no answer that can be passed on.
type SendFailed struct {
	Choice *htselect.Choice
	Reply  Reply
	Took   time.Duration
}

// NotRetried means that a call was not sent once more.
type NotRetried struct {
	Service    string
	Cause      Cause
	StopReason string
	Left       time.Duration
}

func (Sent) decision()       {}
func (Queued) decision()     {}
func (SendFailed) decision() {}
func (NotRetried) decision() {}

// Cause says why a call is sent.
type Cause string

// Causes of sends.
const (
	CauseFirst   Cause = "first"
	CauseUnsent  Cause = "unsent"  // no byte left this host, so the retry budget is not touched
	CauseFailed  Cause = "failed"  // an earlier send failed
	CauseRefused Cause = "refused" // an upstream refused it unstarted
	CauseHedge   Cause = "hedge"   // an earlier send is under way and takes too long
	CauseSlow    Cause = "slow"    // the upstream of an earlier send has become slow
	CauseDown    Cause = "down"    // the upstream of an earlier send has gone down
)

// beside reports whether an earlier send is under way.
func (c Cause) beside() bool { return c == CauseHedge || c == CauseSlow || c == CauseDown }

// Why a call was not sent once more.
const (
	stayAttempts = "attempts-used"
	stayTime     = "too-little-time"
	stayBudget   = "budget-spent"
	stayUpstream = "no-upstream"
)
