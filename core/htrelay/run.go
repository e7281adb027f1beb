package htrelay

import (
	"context"
	"net/http"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htselect"
)

const (
	// maxSends bounds the sends of one call, with those that upstreams refused.
	maxSends = 4
)

// run is one call under way.
type run struct {
	relay   *Relay
	call    *Call
	service string
	results chan result
	tried   []string
	open    int // sends without a result
	ran     int // sends that ran or may have run
	sends   int
	hedges  int
	failed  *Answer       // an answer to fall back on
	broken  bool          // a send ended without saying whether it ran
	waited  time.Duration // for the first upstream
	last    *htselect.Choice
	sent    time.Time     // when last was sent
	alerts  chan struct{} // an upstream that runs the call has changed
}

type result struct {
	choice *htselect.Choice
	reply  Reply
}

func newRun(r *Relay, call *Call, service string) *run {
	return &run{relay: r, call: call, service: service, results: make(chan result, maxSends+1), alerts: make(chan struct{}, 1)}
}

// serve sends the call until it has an answer, its time is over or its caller left.
func (r *run) serve(ctx context.Context) *Answer {
	sendCtx, cancel := r.sendContext(ctx)
	defer cancel()
	if answer := r.first(ctx, sendCtx); answer != nil {
		return r.trace(answer)
	}
	deadline := time.NewTimer(r.call.Deadline.Sub(r.relay.now()))
	defer deadline.Stop()
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	watch := time.NewTicker(r.watchPeriod())
	defer watch.Stop()
	for {
		select {
		case res := <-r.results:
			if answer := r.take(sendCtx, res); answer != nil {
				return r.trace(answer)
			}
		case <-hedge.C:
			r.relay.ask(sendCtx, r.call, r.service, r.tried)
			r.hedge(sendCtx, CauseHedge)
		case <-watch.C:
			if r.call.Route.Idempotent && r.open == 1 {
				r.relay.watch(sendCtx, r)
			}
		case <-r.alerts:
			r.reconsider(sendCtx)
		case <-deadline.C:
			return r.trace(r.expired())
		case <-ctx.Done():
			return r.trace(undecided(htcall.ReasonCanceled))
		}
	}
}

// sendContext returns the context of sends. An idempotent call is canceled when its
// caller leaves. Another one goes on, since it may have taken effect already.
func (r *run) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	base, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.call.Deadline)
	if !r.call.Route.Idempotent {
		return base, func() {
			if r.open == 0 {
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

// first sends the call to an upstream, after a wait if no good one is free. It returns an
// answer if that fails.
func (r *run) first(ctx, sendCtx context.Context) *Answer {
	for range askRounds {
		if r.relay.knowsGood(r) || !r.relay.ask(ctx, r.call, r.service, r.tried) {
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
	r.decided(w.entry)
	look := time.NewTicker(lookPeriod)
	defer look.Stop()
	for {
		select {
		case choice := <-w.granted:
			r.waited = r.relay.now().Sub(w.since)
			r.start(sendCtx, choice, CauseFirst)
			return nil
		case <-ctx.Done():
			r.giveBack(r.relay.abandon(w))
			return undecided(htcall.ReasonCanceled)
		case <-look.C:
		}
		r.relay.poll(ctx, w)
		if r.relay.look(w) {
			return refusal(htcall.ReasonQueueFull, r.relay.waitFor(r))
		}
	}
}

// giveBack releases an upstream that was granted to a call that has ended meanwhile.
func (r *run) giveBack(choice *htselect.Choice) {
	if choice == nil {
		return
	}
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	r.relay.selector.Ended(choice)
	r.relay.leave(choice.Upstream.Ref(), r)
}

// send chooses an upstream and sends the call there.
func (r *run) send(ctx context.Context, cause Cause) *htselect.Refused {
	now := r.relay.now()
	r.relay.mu.Lock()
	choice, refused := r.relay.selector.Choose(now, r.call.Route, r.service, r.call.Deadline.Sub(now), r.tried)
	if refused == nil {
		r.relay.take(now, r, choice)
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
	r.open++
	r.sends++
	r.last = choice
	r.sent = r.relay.now()
	r.decided(Sent{Choice: choice, Cause: cause, Number: r.sends, Left: r.call.Deadline.Sub(r.sent)})
	go func() {
		start := r.relay.now()
		reply := r.relay.sender.Send(ctx, choice.Upstream, r.call.Deadline, r.call)
		if unusable(reply) {
			r.decided(SendFailed{Choice: choice, Reply: reply, Took: r.relay.now().Sub(start)})
		}
		r.relay.settle(ctx, r, choice, reply)
		r.results <- result{choice, reply}
	}()
}

// unusable reports whether a reply is no answer that can be passed on at once.
func unusable(reply Reply) bool {
	answered, ok := reply.(Answered)
	return !ok || answered.Status >= http.StatusInternalServerError
}

// take handles the result of one send. It returns the answer if the call is over.
func (r *run) take(ctx context.Context, res result) *Answer {
	r.open--
	switch reply := res.reply.(type) {
	case Answered:
		r.ran++
		answer := &Answer{Outcome: htcall.Done, Status: reply.Status, Header: reply.Header, Body: reply.Body}
		if reply.Status < http.StatusInternalServerError {
			r.last = res.choice
			return answer
		}
		r.failed = answer
		if r.again(ctx, CauseFailed) || r.open > 0 {
			return nil
		}
		return answer
	case Refused:
		if r.again(ctx, CauseRefused) || r.open > 0 {
			return nil
		}
		return r.over(htcall.ReasonRefused)
	case NotSent:
		if r.again(ctx, CauseUnsent) || r.open > 0 {
			return nil
		}
		return r.over(htcall.ReasonConnect)
	case Broken:
		r.ran++
		r.broken = true
		if r.again(ctx, CauseFailed) || r.open > 0 {
			return nil
		}
		return r.over(htcall.ReasonBroken)
	}
	return undecided(htcall.ReasonInternal)
}

// over returns the answer of a call that can't be sent any more.
func (r *run) over(reason htcall.Reason) *Answer {
	switch {
	case r.failed != nil:
		return r.failed
	case r.broken:
		return undecided(htcall.ReasonBroken)
	}
	return refusal(reason, r.comeBack())
}

// refused returns the answer of a call for which no upstream was chosen at first.
func (r *run) refused(why *htselect.Refused) *Answer {
	return refusal(why.Reason, why.RetryAfter)
}

// comeBack returns when a refused caller may try again: after the usual work time of
// the route a slot has become free.
func (r *run) comeBack() time.Duration {
	if r.last == nil {
		return time.Second
	}
	return r.last.Work
}

// expired returns the answer of a call whose time is over.
func (r *run) expired() *Answer {
	switch {
	case r.failed != nil:
		return r.failed
	case r.open > 0 || r.broken:
		return undecided(htcall.ReasonDeadline)
	}
	return refusal(htcall.ReasonDeadline, r.comeBack())
}

func (r *run) trace(a *Answer) *Answer {
	a.Trace.Sends = r.sends
	a.Trace.Hedges = r.hedges
	a.Trace.Waited = r.waited
	if c := r.last; c != nil {
		a.Trace.Upstream = c.Upstream.ID
		a.Trace.Domain = c.Upstream.Domain
		a.Trace.WorkTimeFactor = c.WorkTimeFactor
		a.Trace.Load = c.Load
		a.Trace.Age = c.Age
		a.Trace.Expected = c.Expected
	}
	return a
}
