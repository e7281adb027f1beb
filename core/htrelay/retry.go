package htrelay

import (
	"context"
	"time"
)

const (
	// minRetryShare is the least time left for another send, as a fraction of the usual
	// work time.
	minRetryShare = 0.5
	// hedgeFactor is the factor of the expected time after which a call is hedged.
	hedgeFactor = 1.5
	// lateShare is the fraction of the target above which an expected time counts as late,
	// since work times vary.
	lateShare = 0.85
	// maxHedgeShare is the longest expected time at a second upstream, as a fraction of the
	// remaining time at the first.
	maxHedgeShare = 0.8
	// minHedgeMargin is the least time beyond the usual work time before a hedge, so that a
	// late timer does not hedge short calls.
	minHedgeMargin = 15 * time.Millisecond
)

// retry sends the call once more if that is allowed and may help. It reports whether it
// did.
func (r *run) retry(ctx context.Context, cause Cause) bool {
	now := r.relay.now()
	r.relay.mu.Lock()
	left, reason := r.sendBlocked(now)
	r.relay.mu.Unlock()
	if reason == "" && !r.takeToken(now, cause) {
		reason = noRetryBudget
	}
	if reason == "" {
		if !cause.concurrent() { // a hedge follows probes sent just before
			r.relay.probeBest(ctx, r.call, r.service, r.tried)
		}
		if r.send(ctx, cause) == nil {
			return true
		}
		reason = noRetryUpstream
	}
	r.reportDecision(NotRetried{Service: r.service, Cause: cause, StopReason: reason, Left: left})
	return false
}

// sendBlocked returns the time left and the reason why the call may not be sent once more,
// whatever the budgets; it is empty if it may. The caller holds r.relay.mu.
func (r *run) sendBlocked(now time.Time) (left time.Duration, reason string) {
	left = r.relay.timeLeft(now, r.call)
	switch {
	case !r.retryAllowed() || r.sends >= maxSends:
		return left, noRetryAttempts
	case r.relay.cutBeforeAnswer(now, r.call), r.lastChoice != nil && float64(left) < minRetryShare*float64(r.lastChoice.Work):
		return left, noRetryTime
	}
	return left, ""
}

// reportDecision reports a decision to Events.
func (r *run) reportDecision(d Decision) { r.relay.events.Decided(r.call, d) }

// takeToken takes the token of one more send and returns false if the budget is spent. A
// retry after a send of which no byte left this host needs no token.
func (r *run) takeToken(now time.Time, cause Cause) bool {
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	switch {
	case cause == CauseUnsent:
		return true
	case cause.concurrent():
		return r.relay.selector.Hedge(now, r.service)
	}
	return r.relay.selector.Retry(now, r.service)
}

// retryAllowed reports whether another upstream may run the call.
func (r *run) retryAllowed() bool {
	if r.call.Route.Idempotent {
		return r.possibleRuns+r.inFlight < max(r.call.Route.Attempts, 1)
	}
	return r.possibleRuns+r.inFlight == 0
}

// hedgeDelay returns the time after which the call is hedged; it is past the deadline for a
// call that may not be hedged.
func (r *run) hedgeDelay() time.Duration {
	if !r.call.Route.Idempotent || r.lastChoice == nil {
		return time.Until(r.call.Deadline) + time.Hour
	}
	late := time.Duration(hedgeFactor * float64(max(r.lastChoice.Expected, r.lastChoice.Work)))
	r.relay.mu.Lock()
	if r.relay.selector.LimitsHedges() {
		late = r.relay.selector.LateAfter(r.lastChoice)
	}
	r.relay.mu.Unlock()
	return max(late, r.lastChoice.Work+minHedgeMargin)
}

// reprobePeriod returns the interval between probes of the upstream that runs the call.
func (r *run) reprobePeriod() time.Duration {
	if r.lastChoice == nil {
		return minReprobeInterval
	}
	return max(minReprobeInterval, time.Duration(reprobeShare*float64(r.lastChoice.Expected)))
}

// hedge sends the call to a second upstream if a good one is known. A call whose upstream is
// down adds no work there, so the limit on extra work does not apply to it.
func (r *run) hedge(ctx context.Context, cause Cause) {
	if r.inFlight != 1 {
		return
	}
	now := r.relay.now()
	r.relay.mu.Lock()
	if r.relay.selector.LimitsHedges() && cause != CauseDown {
		r.relay.mu.Unlock()
		r.limitedHedge(ctx, cause)
		return
	}
	other, refused := r.relay.selector.Choose(now, r.call.Route, r.service, r.relay.timeLeft(now, r.call), r.tried)
	r.relay.mu.Unlock()
	// A hedge must not use the capacity that a call without any send needs.
	if refused == nil && other.Good() && r.retry(ctx, cause) {
		r.hedges++
	}
}

// notifyChange makes the run reconsider its upstream. It does not block.
func (r *run) notifyChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// reconsider hedges the call if its upstream is down, or has become so slow that the answer
// will be late, and another upstream is expected to answer sooner.
func (r *run) reconsider(ctx context.Context) {
	if !r.call.Route.Idempotent || r.inFlight != 1 || r.lastChoice == nil {
		return
	}
	now := r.relay.now()
	r.relay.mu.Lock()
	remaining := r.relay.selector.Remaining(now, r.lastChoice, r.lastSent)
	down := r.relay.selector.Down(r.lastChoice)
	r.relay.mu.Unlock()
	late := now.Sub(r.call.Arrived)+remaining > time.Duration(lateShare*float64(r.call.Route.Target))
	if !down && (!late || r.hedgeBlocked(CauseSlow)) {
		return
	}
	r.relay.probeBest(ctx, r.call, r.service, r.tried)
	now = r.relay.now()
	r.relay.mu.Lock()
	other, refused := r.relay.selector.Choose(now, r.call.Route, r.service, r.relay.timeLeft(now, r.call), r.tried)
	r.relay.mu.Unlock()
	switch {
	case refused != nil:
	case down:
		r.hedge(ctx, CauseDown)
	case float64(other.Expected) < maxHedgeShare*float64(remaining):
		r.hedge(ctx, CauseSlow)
	}
}
