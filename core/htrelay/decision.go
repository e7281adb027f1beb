package htrelay

import (
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htselect"
)

// Decision is a step of a call, with the inputs that decided it: Sent, Queued, SendFailed,
// NotRetried or Hedged.
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

// SendFailed means that a send returned no answer with a status below 500.
type SendFailed struct {
	Choice *htselect.Choice
	Reply  Reply
	Took   time.Duration
}

// NotRetried means that a call was not sent again.
type NotRetried struct {
	Service    string
	Cause      Cause
	StopReason string
	Left       time.Duration
}

// Hedged means that a call with a second send under a limit on extra work has ended.
type Hedged struct {
	Service string
	Cause   Cause
	Won     bool          // the second send answered the call
	Extra   time.Duration // work of the other send
	Tokens  time.Duration // extra work that the budget still allows, negative while in debt
}

func (Sent) decision()       {}
func (Queued) decision()     {}
func (SendFailed) decision() {}
func (NotRetried) decision() {}
func (Hedged) decision()     {}

// Cause is the reason for a send.
type Cause string

// Causes of sends.
const (
	CauseFirst   Cause = "first"
	CauseUnsent  Cause = "unsent"  // no byte left this host, so the retry budget is not touched
	CauseFailed  Cause = "failed"  // an earlier send failed
	CauseRefused Cause = "refused" // an upstream refused the call without starting it
	CauseHedge   Cause = "hedge"   // an earlier send is in flight and takes too long
	CauseSlow    Cause = "slow"    // the upstream of an earlier send has become slow
	CauseDown    Cause = "down"    // the upstream of an earlier send has gone down
)

// concurrent reports whether an earlier send is in flight.
func (c Cause) concurrent() bool { return c == CauseHedge || c == CauseSlow || c == CauseDown }

// Reasons why a call was not sent again.
const (
	noRetryAttempts = "attempts-used"
	noRetryTime     = "too-little-time"
	noRetryBudget   = "budget-spent"
	noRetryUpstream = "no-upstream"
)
