package htrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/htselect"
)

const (
	// maxSends bounds the sends of one call, including those that upstreams refused.
	maxSends = 4
	// freeRetryAfter is the Retry-After time of a call that was refused by upstreams while
	// others are free: upstreams that reject a share of their calls accept the next one as
	// likely as a later one, and the caller can still be on time. It is long enough for new
	// reports of upstreams.
	freeRetryAfter = 25 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After time of a call without memory for its answer. Slow callers
	// give their memory back in some tenths of a second.
	noMemoryRetryAfter = 300 * time.Millisecond
)

// run is the state of one call in progress.
type run struct {
	relay        *Relay
	call         *Call
	service      string
	results      chan result
	tried        []string
	inFlight     int // sends without a result
	possibleRuns int // sends that ran or may have run
	sends        int
	hedges       int
	failedAnswer *Answer       // a 5xx answer, returned if no send succeeds
	uncertain    bool          // a send ended and may or may not have run
	waited       time.Duration // for the first upstream
	lastChoice   *htselect.Choice
	lastSent     time.Time     // when the newest send started
	changed      chan struct{} // the state of an upstream that runs the call has changed
	answeredBy   *htselect.Choice
	pair         *hedgePair // the hedge that is not settled yet, under a limit on extra work
	hedged       []Hedged   // settled hedges
	hedgeRefused bool       // a refused hedge was reported
}

type result struct {
	choice *htselect.Choice
	reply  Reply
}

func newRun(r *Relay, call *Call, service string) *run {
	return &run{relay: r, call: call, service: service, results: make(chan result, maxSends+1), changed: make(chan struct{}, 1)}
}

// serve sends the call and returns when it has an answer, its deadline has passed or its
// caller has left.
func (r *run) serve(ctx context.Context) *Answer {
	sendCtx, cancel := r.sendContext(ctx)
	defer cancel()
	if answer := r.sendFirst(ctx, sendCtx); answer != nil {
		return r.addTrace(answer)
	}
	defer r.endHedge()
	deadline := time.NewTimer(r.call.Deadline.Sub(r.relay.now()))
	defer deadline.Stop()
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	reprobe := time.NewTicker(r.reprobePeriod())
	defer reprobe.Stop()
	for {
		select {
		case res := <-r.results:
			if answer := r.handleResult(sendCtx, res); answer != nil {
				return r.addTrace(answer)
			}
		case <-hedge.C:
			r.hedgeLate(sendCtx)
		case <-reprobe.C:
			if r.call.Route.Idempotent && r.inFlight == 1 {
				r.relay.reprobe(sendCtx, r)
			}
		case <-r.changed:
			r.reconsider(sendCtx)
		case <-deadline.C:
			return r.addTrace(r.expired())
		case <-ctx.Done():
			return r.addTrace(unknownAnswer(htcall.ReasonCanceled))
		}
	}
}

// sendContext returns the context of sends. An idempotent call is canceled when its caller
// leaves. Another call continues, since it may already have taken effect.
func (r *run) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	base, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.call.Deadline)
	if !r.call.Route.Idempotent {
		return base, func() {
			if r.inFlight == 0 {
				cancel()
			}
		}
	}
	stop := context.AfterFunc(ctx, cancel)
	return base, func() {
		stop()
		cancel()
	}
}

// sendFirst sends the call to an upstream, after waiting if no good one is free. It returns
// an answer if the call is refused or its caller leaves.
func (r *run) sendFirst(ctx, sendCtx context.Context) *Answer {
	for range probeRounds {
		if r.relay.hasGoodChoice(r) || !r.relay.probeBest(ctx, r.call, r.service, r.tried) {
			break
		}
	}
	choice, w, refused := r.relay.acquire(r)
	switch {
	case refused != nil:
		return r.refused(refused)
	case choice != nil:
		r.start(sendCtx, choice, CauseFirst)
		return nil
	}
	r.reportDecision(w.decision)
	recheck := time.NewTicker(recheckPeriod)
	defer recheck.Stop()
	for {
		select {
		case choice := <-w.granted:
			r.waited = r.relay.now().Sub(w.since)
			r.start(sendCtx, choice, CauseFirst)
			return nil
		case refused := <-w.refused:
			return refused
		case <-ctx.Done():
			r.release(r.relay.cancelWait(w))
			return unknownAnswer(htcall.ReasonCanceled)
		case <-recheck.C:
		}
		r.relay.poll(ctx, w)
		if refused := r.relay.recheck(w); refused != nil {
			return refused
		}
	}
}

// release returns an upstream that was granted to a call which ended at the same time.
func (r *run) release(choice *htselect.Choice) {
	if choice == nil {
		return
	}
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	r.relay.selector.Ended(choice)
	r.relay.untrackRun(choice.Upstream.Ref(), r)
}

// send chooses an upstream and sends the call there. It returns the refusal if no upstream
// is chosen.
func (r *run) send(ctx context.Context, cause Cause) *htselect.Refused {
	now := r.relay.now()
	r.relay.mu.Lock()
	choice, refused := r.relay.selector.Choose(now, r.call.Route, r.service, r.relay.timeLeft(now, r.call), r.tried)
	if refused == nil {
		r.relay.recordSend(now, r, choice)
	}
	r.relay.mu.Unlock()
	if refused != nil {
		return refused
	}
	r.start(ctx, choice, cause)
	return nil
}

// start sends the call to a chosen upstream in the background.
func (r *run) start(ctx context.Context, choice *htselect.Choice, cause Cause) {
	r.tried = append(r.tried, choice.Upstream.ID)
	r.inFlight++
	r.sends++
	r.lastChoice = choice
	r.lastSent = r.relay.now()
	r.relay.mu.Lock()
	deadline, answerBytes := r.relay.deadline(r.call), r.relay.answers.expected(r.call.Route)
	r.relay.mu.Unlock()
	r.reportDecision(Sent{Choice: choice, Cause: cause, Number: r.sends, Left: deadline.Sub(r.lastSent)})
	r.call.Memory.Retain()
	go func() {
		defer r.call.Memory.Release()
		start := r.relay.now()
		reply := Reply(NotSent{Err: htmemory.ErrNoMemory})
		// A call that has run and whose answer is lost for want of memory can't be repeated.
		if r.call.Route.Idempotent || r.call.Memory.Await(answerBytes) {
			reply = r.relay.sender.Send(ctx, choice.Upstream, deadline, r.call)
		}
		if unusable(reply) {
			r.reportDecision(SendFailed{Choice: choice, Reply: reply, Took: r.relay.now().Sub(start)})
		}
		r.relay.recordResult(ctx, r, choice, reply)
		r.results <- result{choice, reply}
	}()
}

// unusable reports whether a reply is anything but an answer with a status below 500.
func unusable(reply Reply) bool {
	answered, ok := reply.(Answered)
	return !ok || answered.Status >= http.StatusInternalServerError
}

// handleResult processes the result of one send. It returns the answer if the call is
// complete.
func (r *run) handleResult(ctx context.Context, res result) *Answer {
	r.inFlight--
	if r.pair != nil {
		r.pair.end(r.relay.now(), res.choice)
	}
	switch reply := res.reply.(type) {
	case Answered:
		r.possibleRuns++
		answer := answerFor(r.call, reply)
		if reply.Status < http.StatusInternalServerError {
			r.lastChoice = res.choice
			r.answeredBy = res.choice
			return answer
		}
		r.failedAnswer = answer
		if r.retry(ctx, CauseFailed) || r.inFlight > 0 {
			return nil
		}
		return answer
	case Refused:
		if r.retry(ctx, CauseRefused) || r.inFlight > 0 {
			return nil
		}
		return r.exhausted(htcall.ReasonRefused)
	case NotSent:
		if errors.Is(reply.Err, htmemory.ErrNoMemory) {
			if r.inFlight > 0 {
				return nil
			}
			return r.notSentAgain(refusal(htcall.ReasonNoMemory, noMemoryRetryAfter))
		}
		if r.retry(ctx, CauseUnsent) || r.inFlight > 0 {
			return nil
		}
		return r.exhausted(htcall.ReasonConnect)
	case Broken:
		r.possibleRuns++
		r.uncertain = true
		if r.retry(ctx, CauseFailed) || r.inFlight > 0 {
			return nil
		}
		return r.exhausted(htcall.ReasonBroken)
	}
	return unknownAnswer(htcall.ReasonInternal)
}

// exhausted returns the answer of a call that can't be sent again.
func (r *run) exhausted(reason htcall.Reason) *Answer {
	after := freeRetryAfter
	if !r.relay.hasGoodChoice(r) {
		after = r.retryAfter()
	}
	return r.notSentAgain(refusal(reason, after))
}

// notSentAgain returns a refusal, or the answer of a call that may have run.
func (r *run) notSentAgain(refused *Answer) *Answer {
	switch {
	case r.failedAnswer != nil:
		return r.failedAnswer
	case r.uncertain:
		return unknownAnswer(htcall.ReasonBroken)
	}
	return refused
}

// refused returns the answer of a call for which no upstream was chosen at first.
func (r *run) refused(why *htselect.Refused) *Answer {
	return refusal(why.Reason, why.RetryAfter)
}

// retryAfter returns the Retry-After time of a refused call: the usual work time of the
// route, after which a slot has become free, or one second if nothing was sent.
func (r *run) retryAfter() time.Duration {
	if r.lastChoice == nil {
		return time.Second
	}
	return r.lastChoice.Work
}

// expired returns the answer of a call whose deadline has passed.
func (r *run) expired() *Answer {
	switch {
	case r.failedAnswer != nil:
		return r.failedAnswer
	case r.inFlight > 0 || r.uncertain:
		return unknownAnswer(htcall.ReasonDeadline)
	}
	return refusal(htcall.ReasonDeadline, r.retryAfter())
}

func (r *run) addTrace(a *Answer) *Answer {
	a.Trace.Sends = r.sends
	a.Trace.Hedges = r.hedges
	a.Trace.Waited = r.waited
	if c := r.lastChoice; c != nil {
		a.Trace.Upstream = c.Upstream.ID
		a.Trace.Domain = c.Upstream.Domain
		a.Trace.WorkTimeFactor = c.WorkTimeFactor
		a.Trace.Load = c.Load
		a.Trace.Age = c.Age
		a.Trace.Expected = c.Expected
	}
	return a
}
