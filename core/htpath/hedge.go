package htpath

import (
	"context"
	"io"
	"time"

	"hawthornturn/core/htcall"
)

const (
	// hedgeQuantile is the share of calls that are answered before a hedge is sent.
	hedgeQuantile = 0.95
	// minHedgeDelay keeps hedges away from calls that are only as slow as usual.
	minHedgeDelay = 20 * time.Millisecond
	// startHedgeDelay is used until enough answers were seen.
	startHedgeDelay = 250 * time.Millisecond
)

// hedged runs an idempotent call. When no answer has come after the usual time, it
// sends a second copy to another failure domain, within the retry budget. The
// loser is not cancelled: its slot is free as soon as its answer is whole, but only
// at the deadline if the connection is closed.
func (r *Router) hedged(ctx context.Context, call *Call, state *serviceState, plan *plan) *Answer {
	race, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	results := make(chan *Answer, 2)
	running := 1
	start := r.now()
	var result tries
	go func() { results <- r.sequence(race, call, state, plan) }()
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
			go discardRest(results, running, cancel, untilClosed(answer))
			return answer
		case <-timer.C:
			if !r.allExhausted(plan) && r.spend(state) {
				running++
				hedge := *call
				hedge.Meta.ID = call.Meta.ID + "-h"
				hedge.Meta.Attempt++
				go func() { results <- r.sequence(race, &hedge, state, plan) }()
			}
		case <-ctx.Done():
			cancel()
			go discardRest(results, running, cancel, nil)
			return UnknownOutcome(htcall.ReasonDeadline)
		}
	}
}

// untilClosed wraps the body of the answer and returns a channel that is closed with
// it, or nil if there is no body.
func untilClosed(answer *Answer) <-chan struct{} {
	if answer.Body == nil {
		return nil
	}
	closed := make(chan struct{})
	answer.Body = &notifyBody{ReadCloser: answer.Body, closed: closed}
	return closed
}

// discardRest reads the answers that lost the race and releases the race's context
// once nothing uses it.
func discardRest(results <-chan *Answer, running int, cancel context.CancelFunc, winnerClosed <-chan struct{}) {
	for range running {
		(<-results).Discard()
	}
	if winnerClosed != nil {
		<-winnerClosed
	}
	cancel()
}

// notifyBody closes a channel when the body is closed.
type notifyBody struct {
	io.ReadCloser
	closed chan struct{}
	over   bool
}

// Close implements io.Closer.
func (b *notifyBody) Close() error {
	if !b.over {
		b.over = true
		close(b.closed)
	}
	return b.ReadCloser.Close()
}

func (r *Router) hedgeDelay(state *serviceState) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state.latency.delay()
}

func (r *Router) observe(state *serviceState, answer *Answer, took time.Duration) {
	if answer.Outcome != htcall.Done {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state.latency.observe(took)
}

// latencyTracker estimates a quantile of the time to answer. Each observation moves
// the estimate by a small step, up with weight hedgeQuantile and down with the
// rest, so that it settles where that share of answers is faster.
type latencyTracker struct {
	estimate time.Duration
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{estimate: startHedgeDelay}
}

func (t *latencyTracker) observe(took time.Duration) {
	step := t.estimate / 16
	if took > t.estimate {
		t.estimate += time.Duration(float64(step) * hedgeQuantile)
		return
	}
	t.estimate -= time.Duration(float64(step) * (1 - hedgeQuantile))
}

func (t *latencyTracker) delay() time.Duration {
	return max(minHedgeDelay, t.estimate)
}
