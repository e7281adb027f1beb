package htrelay

import (
	"math"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htfair"
	"hawthornturn/core/htselect"
)

// shares returns the shares of the accounts in a queue, or nil if no accounts are declared. The
// caller holds r.mu.
func (r *Relay) shares(now time.Time, q *queue) *htfair.Shares {
	config := r.selector.Catalog().Config
	switch {
	case config == nil || !config.KeysRequired:
		q.shares = nil
	case q.shares == nil:
		q.shares = htfair.New(now)
	}
	return q.shares
}

// group returns the group of a call.
func (c *Call) group() htfair.Group {
	g := htfair.Group{Class: c.Priority()}
	if c.Account != nil {
		g.Account = c.Account.Name
	}
	return g
}

// asksFirst reports whether a call is the first attempt of its caller.
func (c *Call) asksFirst() bool { return !c.FirstAttempt.Before(c.Arrived) }

// recordAsked counts a call that asks for an upstream. The caller holds r.mu.
func (r *Relay) recordAsked(now time.Time, q *queue, call *Call) {
	if shares := r.shares(now, q); shares != nil && call.asksFirst() {
		shares.Asked(now, call.group(), r.selector.UsualWorkTime(call.Route))
	}
}

// recordShare counts a send. The caller holds r.mu.
func (r *Relay) recordShare(now time.Time, of *run, choice *htselect.Choice) {
	q := r.queues[of.service]
	if q == nil {
		return
	}
	if shares := r.shares(now, q); shares != nil {
		shares.Sent(now, of.call.group(), r.selector.UsualWorkTime(of.call.Route), of.sends == 0, of.call.onTime(now, choice.Expected))
	}
}

// waiterOf returns the waiter of a call that waits, or asks whether to wait, as htfair sees it.
func (r *Relay) waiterOf(now time.Time, call *Call) htfair.Waiter {
	cost := r.selector.UsualWorkTime(call.Route)
	return htfair.Waiter{Group: call.group(), Cost: cost, OnTime: call.onTime(now, cost)}
}

// order returns the waiters in the order in which they get upstreams; waiters that are removed
// become nil. By the shares of accounts, the order is worked out once in recheckPeriod/2 unless
// other calls come, since every report of an upstream asks for it. The caller holds r.mu.
func (r *Relay) order(now time.Time, q *queue) []*waiter {
	shares := r.shares(now, q)
	if shares != nil && now.Sub(q.orderedAt) < recheckPeriod/2 {
		return q.ordered
	}
	ordered := append(q.ordered[:0], q.waiters...)
	if shares != nil {
		q.orderedAt = now
		waiters := make([]htfair.Waiter, len(q.waiters))
		for i, w := range q.waiters {
			waiters[i] = r.waiterOf(now, w.run.call)
		}
		for at, i := range shares.Order(now, waiters) {
			ordered[at] = q.waiters[i]
		}
	}
	q.ordered = ordered
	return ordered
}

// aheadInShares counts the waiters that can be on time and get an upstream before a call that is not
// waiting. The caller holds r.mu.
func (r *Relay) aheadInShares(now time.Time, q *queue, shares *htfair.Shares, call *Call) int {
	waiters := make([]htfair.Waiter, 0, len(q.waiters)+1)
	for _, w := range q.waiters {
		waiters = append(waiters, r.waiterOf(now, w.run.call))
	}
	self := len(waiters)
	waiters = append(waiters, r.waiterOf(now, call))
	n := 0
	for _, i := range shares.Order(now, waiters) {
		if i == self {
			break
		}
		if waiters[i].OnTime {
			n++
		}
	}
	return n
}

// makeRoom removes the waiter that would get an upstream last from a full queue, for a call that
// would get one before it. It reports whether there is room for the call. The caller holds r.mu.
func (r *Relay) makeRoom(now time.Time, q *queue, call *Call) bool {
	if len(q.waiters) < maxWaiting {
		return true
	}
	shares := r.shares(now, q)
	if shares == nil {
		return false
	}
	waiters := make([]htfair.Waiter, 0, len(q.waiters)+1)
	for _, w := range q.waiters {
		waiters = append(waiters, r.waiterOf(now, w.run.call))
	}
	waiters = append(waiters, r.waiterOf(now, call))
	order := shares.Order(now, waiters)
	last := order[len(order)-1]
	if last == len(q.waiters) {
		return false
	}
	w := q.waiters[last]
	w.refused <- r.refuseWaiting(now, q, w)
	return true
}

// lineTimeout is the age from which the line of all hosts no longer holds.
const lineTimeout = 500 * time.Millisecond

// serviceLine is the admission line of a service, by the demand on all hosts.
type serviceLine struct {
	line htfair.Line
	at   time.Time // when this host got the demand
}

// contestedFor is the time after a call last waited for a service, on this host or another, for which
// this host tells the demand on it.
const contestedFor = time.Second

// SetDemand sets the demand on all hosts, from which the admission lines follow.
func (r *Relay) SetDemand(now time.Time, p htfair.Picture) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, q := range r.queues {
		ref := htcatalog.RefOf(service)
		demands, ok := p[ref]
		if !ok {
			continue
		}
		q.line = serviceLine{htfair.NewLine(demands), now}
		if p.Waiting(ref) > 0 {
			q.contestedAt = now
		}
	}
}

// Demand returns the demand on this host, for services for which calls wait. It is empty unless
// accounts are declared.
func (r *Relay) Demand(now time.Time) htfair.Picture {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := htfair.Picture{}
	for service, q := range r.queues {
		shares := r.shares(now, q)
		if shares == nil {
			continue
		}
		waiting := map[int]time.Duration{}
		for _, w := range q.waiters {
			call := w.run.call
			usual := r.selector.UsualWorkTime(call.Route)
			if r.shareDelay(now, q, call) == 0 && call.onTime(now, usual) {
				waiting[call.Priority()] += usual
				q.contestedAt = now
			}
		}
		if now.Sub(q.contestedAt) < contestedFor {
			p[htcatalog.RefOf(service)] = shares.Demands(now, waiting)
		}
	}
	return p
}

// share returns what the account of a call uses and may use, or nil if no accounts are declared. The
// caller holds r.mu.
func (r *Relay) share(now time.Time, q *queue, call *Call) *Share {
	shares := r.shares(now, q)
	if shares == nil {
		return nil
	}
	group := call.group()
	s := &Share{Use: shares.Use(now, group), Level: math.Inf(1), Age: -1}
	if !q.line.at.IsZero() && now.Sub(q.line.at) <= lineTimeout {
		s.Use, s.Level, s.Age = q.line.line.Use(s.Use, group), q.line.line.Level(group.Class), now.Sub(q.line.at)
	}
	return s
}

// shareDelay returns the time until the account of a call is below the admission line; it is 0 if
// this host has no line. The caller holds r.mu.
func (r *Relay) shareDelay(now time.Time, q *queue, call *Call) time.Duration {
	s := r.share(now, q, call)
	if s == nil || s.Age < 0 {
		return 0
	}
	return htfair.Delay(s.Use, s.Level)
}

// LineDump is the admission line of a service for operators.
type LineDump struct {
	Age      time.Duration   // of the demand on all hosts
	Levels   map[int]float64 // multiples of the usual load, of the classes that are held back
	HeldBack int             // calls that wait since their accounts are above the line
}

// Lines returns the admission lines in force, by service.
func (r *Relay) Lines() map[string]LineDump {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	lines := map[string]LineDump{}
	for service, q := range r.queues {
		if q.line.at.IsZero() || now.Sub(q.line.at) > lineTimeout {
			continue
		}
		d := LineDump{Age: now.Sub(q.line.at), Levels: q.line.line.Levels()}
		for _, w := range q.waiters {
			if r.shareDelay(now, q, w.run.call) > 0 {
				d.HeldBack++
			}
		}
		lines[service] = d
	}
	return lines
}
