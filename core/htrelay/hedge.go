package htrelay

import (
	"context"
	"time"

	"hawthornturn/core/hthedge"
	"hawthornturn/core/htselect"
)

// hedgePair is two sends of a call that were in flight at the same time.
type hedgePair struct {
	cause    Cause
	first    pairedSend
	second   pairedSend
	reserved time.Duration // of the budget for hedges
}

// pairedSend is one send of a pair.
type pairedSend struct {
	choice *htselect.Choice
	sent   time.Time
	ended  time.Time // zero while in flight
}

// took returns the time that the send has taken until now.
func (s *pairedSend) took(now time.Time) time.Duration {
	if s.ended.IsZero() {
		return now.Sub(s.sent)
	}
	return s.ended.Sub(s.sent)
}

// end records the end of a send.
func (p *hedgePair) end(now time.Time, c *htselect.Choice) {
	for _, s := range []*pairedSend{&p.first, &p.second} {
		if s.choice == c && s.ended.IsZero() {
			s.ended = now
		}
	}
}

// extra returns the work of the send that did not answer the call. If neither did, it is the
// shorter one.
func (p *hedgePair) extra(now time.Time, answeredBy *htselect.Choice) time.Duration {
	first, second := p.first.took(now), p.second.took(now)
	switch answeredBy {
	case p.first.choice:
		return second
	case p.second.choice:
		return first
	}
	return min(first, second)
}

// hedgeLate hedges a call that is late. Under a limit on extra work, upstreams are probed for
// it only if there is room and budget.
func (r *run) hedgeLate(ctx context.Context) {
	if r.hedgeBlocked(CauseHedge) {
		return
	}
	r.relay.probeBest(ctx, r.call, r.service, r.tried)
	r.hedge(ctx, CauseHedge)
}

// hedgeBlocked reports whether the limit on extra work allows no hedge now, and reports the
// refusal. Without a limit, it returns false.
func (r *run) hedgeBlocked(cause Cause) bool {
	now := r.relay.now()
	r.relay.mu.Lock()
	budget := r.relay.selector.HedgeBudget(r.service)
	refusal := hthedge.None
	if budget != nil && r.inFlight == 1 {
		refusal = budget.Check(r.relay.room(now, r.service), r.hedgeCost(now, r.lastChoice.Work))
	}
	r.relay.mu.Unlock()
	if refusal == hthedge.None {
		return false
	}
	r.reportHedgeRefused(cause, string(refusal), r.call.Deadline.Sub(now))
	return true
}

// hedgeCost returns the extra work that a hedge with an expected time may cause: the time at
// the first upstream until then, if the hedge is the one that answers.
func (r *run) hedgeCost(now time.Time, expected time.Duration) time.Duration {
	return now.Sub(r.lastSent) + expected
}

// limitedHedge sends the call to a second upstream if the limit on extra work, the retry
// budget and the state of the service allow it.
func (r *run) limitedHedge(ctx context.Context, cause Cause) {
	now := r.relay.now()
	r.relay.mu.Lock()
	left, reason := r.sendBlocked(now)
	var other *htselect.Choice
	if reason == "" {
		other, reason = r.relay.reserveHedge(now, r, left)
	}
	if reason == "" {
		r.pairWith(now, other, cause)
	}
	r.relay.mu.Unlock()
	if reason != "" {
		r.reportHedgeRefused(cause, reason, left)
		return
	}
	r.hedges++
	r.start(ctx, other, cause)
}

// reportHedgeRefused reports why the call is not hedged. A call is reconsidered with each change
// of its upstream; only the first refusal is reported.
func (r *run) reportHedgeRefused(cause Cause, reason string, left time.Duration) {
	if r.hedgeRefused {
		return
	}
	r.hedgeRefused = true
	r.reportDecision(NotRetried{Service: r.service, Cause: cause, StopReason: reason, Left: left})
}

// reserveHedge chooses the second upstream of a call and takes the tokens of the hedge. It
// returns the reason if there is none. The caller holds r.mu.
func (r *Relay) reserveHedge(now time.Time, of *run, left time.Duration) (*htselect.Choice, string) {
	other, refused := r.selector.Choose(now, of.call.Route, of.service, left, of.tried)
	if refused != nil {
		return nil, noRetryUpstream
	}
	budget := r.selector.HedgeBudget(of.service)
	cost := of.hedgeCost(now, other.Expected)
	if refusal := budget.Decide(r.room(now, of.service), r.selector.HedgeUpstream(now, other), cost); refusal != hthedge.None {
		return nil, string(refusal)
	}
	if !r.selector.Hedge(now, of.service) {
		return nil, noRetryBudget
	}
	budget.Reserve(cost)
	r.recordSend(now, of, other)
	return other, ""
}

// pairWith records that the call is also sent to a second upstream. The caller holds
// r.relay.mu.
func (r *run) pairWith(now time.Time, other *htselect.Choice, cause Cause) {
	r.settleHedge(now)
	r.pair = &hedgePair{
		cause:    cause,
		first:    pairedSend{choice: r.lastChoice, sent: r.lastSent},
		second:   pairedSend{choice: other, sent: now},
		reserved: r.hedgeCost(now, other.Expected),
	}
}

// settleHedge settles the budget for the hedge of the call, if there is one. The caller holds
// r.relay.mu.
func (r *run) settleHedge(now time.Time) {
	p := r.pair
	if p == nil {
		return
	}
	r.pair = nil
	selector := r.relay.selector
	extra := p.extra(now, r.answeredBy)
	won := r.answeredBy == p.second.choice
	if won && p.first.ended.IsZero() {
		selector.Overtaken(p.first.choice, p.first.took(now))
	}
	budget := selector.HedgeBudget(r.service)
	budget.Settle(p.reserved, extra)
	r.hedged = append(r.hedged, Hedged{Service: r.service, Cause: p.cause, Won: won, Extra: extra, Tokens: budget.Tokens()})
}

// endHedge settles the hedge of a call that has ended and reports it.
func (r *run) endHedge() {
	now := r.relay.now()
	r.relay.mu.Lock()
	r.settleHedge(now)
	r.relay.mu.Unlock()
	for _, h := range r.hedged {
		r.reportDecision(h)
	}
}

// room returns what is known of the free capacity of a service. The caller holds r.mu.
func (r *Relay) room(now time.Time, service string) hthedge.Room {
	q := r.queues[service]
	if q == nil {
		return hthedge.Room{}
	}
	return hthedge.Room{Waiting: len(q.waiters), Pressure: q.pressure.share(now)}
}
