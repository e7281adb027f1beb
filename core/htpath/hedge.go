package htpath

import (
	"context"
	"io"
	"time"

	"hawthornturn/core/htcall"
)

const (
	// hedgeQuantile is the fraction of calls that are answered before a hedge is sent.
	hedgeQuantile = 0.95
	// minHedgeDelay is the shortest delay before a hedge. It avoids hedges for calls
	// whose latency is within the usual range.
	minHedgeDelay = 20 * time.Millisecond
	// initialHedgeDelay is the initial estimate of the delay, before answers have been
	// observed.
	initialHedgeDelay = 250 * time.Millisecond
)

// runHedged runs an idempotent call. If no answer has arrived after the hedge delay, it
// sends a hedge to another failure domain, within the retry budget. The slower of the
// two is not canceled: canceling would close its connection, and its slot would then
// stay occupied until the deadline, or until htdispatch.Config.CancelGrace has passed if
// that is earlier. Otherwise its slot becomes free as soon as its answer is complete.
func (r *Router) runHedged(ctx context.Context, call *Call, state *serviceState, plan *plan) *Answer {
	raceCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	results := make(chan *Answer, 2)
	running := 1
	start := r.now()
	var result attempts
	go func() { results <- r.tryDomains(raceCtx, call, state, plan) }()
	timer := time.NewTimer(r.hedgeDelay(state))
	defer timer.Stop()
	for {
		select {
		case answer := <-results:
			running--
			answer = result.add(answer)
			if answer.Outcome != htcall.Done && running > 0 {
				answer.Discard()
				continue
			}
			r.observe(state, answer, r.now().Sub(start))
			go discardLosers(results, running, cancel, notifyOnClose(answer))
			return answer
		case <-timer.C:
			if !r.allDomainsTried(plan) && r.spendBudget(state) {
				running++
				hedge := *call
				hedge.Meta.ID = call.Meta.ID + "-h"
				hedge.Meta.Attempt++
				go func() { results <- r.tryDomains(raceCtx, &hedge, state, plan) }()
			}
		case <-ctx.Done():
			cancel()
			go discardLosers(results, running, cancel, nil)
			return UnknownOutcome(htcall.ReasonDeadline)
		}
	}
}

// notifyOnClose wraps the body of the answer and returns a channel that is closed when
// the body is closed, or nil if there is no body.
func notifyOnClose(answer *Answer) <-chan struct{} {
	if answer.Body == nil {
		return nil
	}
	closed := make(chan struct{})
	answer.Body = &notifyBody{ReadCloser: answer.Body, closed: closed}
	return closed
}

// discardLosers discards the answers of the attempts that are still running, waits until
// the body of the returned answer is closed, and then cancels their common context.
func discardLosers(results <-chan *Answer, running int, cancel context.CancelFunc, winnerClosed <-chan struct{}) {
	for range running {
		(<-results).Discard()
	}
	if winnerClosed != nil {
		<-winnerClosed
	}
	cancel()
}

// notifyBody closes a channel when the body is first closed.
type notifyBody struct {
	io.ReadCloser
	closed   chan struct{}
	notified bool
}

// Close implements io.Closer.
func (b *notifyBody) Close() error {
	if !b.notified {
		b.notified = true
		close(b.closed)
	}
	return b.ReadCloser.Close()
}

func (r *Router) hedgeDelay(state *serviceState) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state.latency.delay()
}

func (r *Router) observe(state *serviceState, answer *Answer, elapsed time.Duration) {
	if answer.Outcome != htcall.Done {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state.latency.observe(elapsed)
}

// latencyTracker estimates the hedgeQuantile of the latency of calls. Each observation
// moves the estimate by a small step, up with weight hedgeQuantile or down with weight
// 1-hedgeQuantile, so that it converges to the latency that this fraction of answers
// does not exceed.
type latencyTracker struct {
	estimate time.Duration
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{estimate: initialHedgeDelay}
}

func (t *latencyTracker) observe(elapsed time.Duration) {
	step := t.estimate / 16
	if elapsed > t.estimate {
		t.estimate += time.Duration(float64(step) * hedgeQuantile)
		return
	}
	t.estimate -= time.Duration(float64(step) * (1 - hedgeQuantile))
}

func (t *latencyTracker) delay() time.Duration {
	return max(minHedgeDelay, t.estimate)
}
