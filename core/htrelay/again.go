package htrelay

import (
	"context"
	"time"
)

const (
	// minRetryShare is the share of the usual work time that must be left for
	// another send.
	minRetryShare = 0.5
	// hedgeFactor is how many times the expected time an answer may take before a second
	// upstream is asked.
	hedgeFactor = 1.5
	// lateShare of the target is the expected time from which an answer counts as late,
	// since work times vary.
	lateShare = 0.85
	// gainShare of the remaining time is the most that a second upstream may take.
	gainShare = 0.8
	// hedgeFloor keeps short calls from being hedged because of a late timer.
	hedgeFloor = 15 * time.Millisecond
)

// again sends the call once more if that is allowed and may help.
func (r *run) again(ctx context.Context, cause Cause) bool {
	now := r.relay.now()
	left := r.call.Deadline.Sub(now)
	stay := ""
	switch {
	case !r.mayRepeat() || r.sends >= maxSends:
		stay = stayAttempts
	case r.last != nil && float64(left) < minRetryShare*float64(r.last.Work):
		stay = stayTime
	case !r.maySpend(now, cause):
		stay = stayBudget
	}
	if stay == "" {
		if !cause.beside() { // otherwise it is decided by what others have just said
			r.relay.ask(ctx, r.call, r.service, r.tried)
		}
		if r.send(ctx, cause) == nil {
			return true
		}
		stay = stayUpstream
	}
	r.decided(NotRetried{Service: r.service, Cause: cause, StopReason: stay, Left: left})
	return false
}

// decided tells of a decision.
func (r *run) decided(d Decision) { r.relay.events.Decided(r.call, d) }

// maySpend takes the token of one more send, if it needs one.
func (r *run) maySpend(now time.Time, cause Cause) bool {
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	switch {
	case cause == CauseUnsent:
		return true
	case cause.beside():
		return r.relay.selector.Hedge(now, r.service)
	}
	return r.relay.selector.Retry(now, r.service)
}

// mayRepeat reports whether one more upstream may run the call.
func (r *run) mayRepeat() bool {
	if r.call.Route.Idempotent {
		return r.ran+r.open < max(r.call.Route.Attempts, 1)
	}
	return r.ran+r.open == 0
}

// hedgeDelay returns how long the first answer may take before a second upstream is
// asked.
func (r *run) hedgeDelay() time.Duration {
	if !r.call.Route.Idempotent || r.last == nil {
		return time.Until(r.call.Deadline) + time.Hour
	}
	expected := max(r.last.Expected, r.last.Work)
	return max(time.Duration(hedgeFactor*float64(expected)), r.last.Work+hedgeFloor)
}

// watchPeriod returns the time between questions to the upstream that runs the call.
func (r *run) watchPeriod() time.Duration {
	if r.last == nil {
		return watchFloor
	}
	return max(watchFloor, time.Duration(watchShare*float64(r.last.Expected)))
}

// hedge sends to a second upstream that is good.
func (r *run) hedge(ctx context.Context, cause Cause) {
	if r.open != 1 {
		return
	}
	now := r.relay.now()
	r.relay.mu.Lock()
	other, refused := r.relay.selector.Choose(now, r.call.Route, r.service, r.call.Deadline.Sub(now), r.tried)
	r.relay.mu.Unlock()
	// A second send must not take the place of a call that was not sent at all.
	if refused == nil && other.Good() && r.again(ctx, cause) {
		r.hedges++
	}
}

// alert makes the run reconsider. It does not block.
func (r *run) alert() {
	select {
	case r.alerts <- struct{}{}:
	default:
	}
}

// reconsider asks a second upstream if the one that runs the call has become so slow
// that its answer will be late and the other's will not.
func (r *run) reconsider(ctx context.Context) {
	if !r.call.Route.Idempotent || r.open != 1 || r.last == nil {
		return
	}
	now := r.relay.now()
	r.relay.mu.Lock()
	remaining := r.relay.selector.Remaining(now, r.last, r.sent)
	down := r.relay.selector.Down(r.last)
	r.relay.mu.Unlock()
	late := now.Sub(r.call.Arrived)+remaining > time.Duration(lateShare*float64(r.call.Route.Target))
	if !down && !late {
		return
	}
	r.relay.ask(ctx, r.call, r.service, r.tried)
	now = r.relay.now()
	r.relay.mu.Lock()
	other, refused := r.relay.selector.Choose(now, r.call.Route, r.service, r.call.Deadline.Sub(now), r.tried)
	r.relay.mu.Unlock()
	switch {
	case refused != nil:
	case down:
		r.hedge(ctx, CauseDown)
	case float64(other.Expected) < gainShare*float64(remaining):
		r.hedge(ctx, CauseSlow)
	}
}
