package htpath

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htview"
)

const (
	// forwardMargin is subtracted from the deadline that the next host gets, so that its
	// refusal for an exceeded deadline still arrives in time.
	forwardMargin = 5 * time.Millisecond
	// handoverPause is the time between attempts while a shard is handed over.
	handoverPause = 10 * time.Millisecond
	// retryBurst bounds the unspent retry budget of a service, and so the number of
	// retries that it can make at once.
	retryBurst = 10
)

// LocalShards provides the dispatchers of the shards that this host owns.
type LocalShards interface {
	// Dispatcher returns nil if the host does not serve the shard.
	Dispatcher(s htview.Shard) *Dispatcher
}

// Router sends a call to the dispatcher of one of the failure domains of its pool. It
// retries or hedges the call where that is safe and within the retry budget.
type Router struct {
	self       string
	ownership  Ownership
	declared   DeclaredState
	peers      Peers
	local      LocalShards
	quarantine *Quarantine
	now        func() time.Time

	mu       sync.Mutex
	chooser  *htroute.Router
	services map[string]*serviceState
}

// serviceState holds the retry budget and the latency estimate of one service.
type serviceState struct {
	budget  *htroute.Budget
	latency *latencyTracker
}

// NewRouter returns a router of the host named self.
func NewRouter(self string, ownership Ownership, declared DeclaredState, peers Peers, local LocalShards, quarantine *Quarantine, chooser *htroute.Router, now func() time.Time) *Router {
	return &Router{
		self:       self,
		ownership:  ownership,
		declared:   declared,
		peers:      peers,
		local:      local,
		quarantine: quarantine,
		now:        now,
		chooser:    chooser,
		services:   map[string]*serviceState{},
	}
}

// Route runs the call and returns its answer.
func (r *Router) Route(ctx context.Context, call *Call) *Answer {
	set := r.declared.Current()
	if set == nil {
		return Refusal(htcall.ReasonNotReady)
	}
	service, pool, ok := findService(set, call.Meta.Service)
	if !ok {
		return Refusal(htcall.ReasonUnknownService)
	}
	if r.quarantine.Blocked(r.now(), call.Meta.Fingerprint()) {
		return Refusal(htcall.ReasonQuarantined)
	}
	state := r.service(service)
	r.mu.Lock()
	state.budget.Earn()
	r.mu.Unlock()
	plan := &plan{targets: targets(set, pool)}
	if call.Meta.Idempotent && call.Body.Buffered() {
		return r.runHedged(ctx, call, state, plan)
	}
	return r.tryDomains(ctx, call, state, plan)
}

// plan holds the failure domains that remain to be tried for one call. Its methods are
// called with Router.mu held.
type plan struct {
	targets       []htroute.Target
	excluded      []string
	freeRetryUsed bool // a refusal was followed by an attempt without spending budget
}

func (p *plan) exclude(domain string) {
	p.excluded = append(p.excluded, domain)
}

// exhausted reports whether every failure domain has been tried.
func (p *plan) exhausted() bool {
	return len(p.excluded) >= len(p.targets)
}

// tryDomains tries one failure domain after the other, as long as the request certainly
// did not run, or is idempotent and within the retry budget.
func (r *Router) tryDomains(ctx context.Context, call *Call, state *serviceState, plan *plan) *Answer {
	var result attempts
	for {
		target, ok := r.choose(plan)
		if !ok {
			return result.add(Refusal(htcall.ReasonNoUpstream))
		}
		answer := r.attempt(ctx, call, target)
		if !r.shouldRetry(ctx, call, state, plan, answer) {
			return result.add(answer)
		}
		result.add(answer).Discard()
	}
}

// attempts combines the answers of the attempts of one call.
type attempts struct {
	unknown *Answer // answer of the first attempt that may have run
}

// add records the answer of an attempt and returns the answer for the caller if the
// call ends with it. If an earlier attempt may have run, a later not-run answer is
// replaced by the answer of that attempt.
func (t *attempts) add(answer *Answer) *Answer {
	if answer.Outcome == htcall.Unknown && t.unknown == nil {
		t.unknown = answer
	}
	if answer.Outcome == htcall.NotRun && t.unknown != nil {
		return t.unknown
	}
	return answer
}

// shouldRetry reports whether another attempt may follow the answer. While a shard is
// being handed over, it waits before it returns. It spends retry budget if the next
// attempt requires it.
func (r *Router) shouldRetry(ctx context.Context, call *Call, state *serviceState, plan *plan, answer *Answer) bool {
	if answer.Outcome == htcall.Done || ctx.Err() != nil || !call.Body.Replayable() {
		return false
	}
	if answer.Outcome == htcall.Unknown {
		return call.Meta.Idempotent && !answer.Crash && !r.allDomainsTried(plan) && r.spendBudget(state)
	}
	switch answer.Reason {
	case htcall.ReasonMoved, htcall.ReasonCutOff:
		return r.pauseForHandover(ctx, call)
	case htcall.ReasonRefused:
		return !r.allDomainsTried(plan) && (r.allowFreeRetry(plan, answer) || r.spendBudget(state))
	case htcall.ReasonQueueFull, htcall.ReasonConnect, htcall.ReasonNoUpstream, htcall.ReasonDomainOut, htcall.ReasonDeadline:
		return !r.allDomainsTried(plan) && call.Remaining(r.now()) > forwardMargin
	default:
		return false
	}
}

// allowFreeRetry reports whether a refused call may be retried without spending budget.
// This is allowed once per call, because a refused request caused no work at the
// upstream, and not while the pool is shedding load.
func (r *Router) allowFreeRetry(plan *plan, answer *Answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if plan.freeRetryUsed || answer.Load == nil || answer.Load.Shedding {
		return false
	}
	plan.freeRetryUsed = true
	return true
}

func (r *Router) allDomainsTried(plan *plan) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return plan.exhausted()
}

// pauseForHandover waits for handoverPause before the next attempt while ownership
// changes. It returns false if too little time remains before the deadline or ctx ends.
func (r *Router) pauseForHandover(ctx context.Context, call *Call) bool {
	if call.Remaining(r.now()) <= handoverPause+forwardMargin {
		return false
	}
	timer := time.NewTimer(handoverPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the call to the owner of the target's shard, and records the load,
// failures and crashes that the answer reports.
func (r *Router) attempt(ctx context.Context, call *Call, target htroute.Target) *Answer {
	shard, ok := shardOf(call, target, r.declared.Current())
	if !ok {
		return Refusal(htcall.ReasonNoUpstream)
	}
	owner, ok := r.ownership.Owner(shard)
	if !ok {
		return Refusal(htcall.ReasonMoved)
	}
	answer := r.deliver(ctx, call, shard, owner)
	r.recordAnswer(target.Shard, answer)
	if answer.Crash {
		r.quarantine.Crashed(r.now(), call.Meta.Fingerprint(), call.Meta.ID)
	}
	return answer
}

func (r *Router) deliver(ctx context.Context, call *Call, shard htview.Shard, owner htview.Member) *Answer {
	if owner.Host == r.self {
		dispatcher := r.local.Dispatcher(shard)
		if dispatcher == nil {
			return Refusal(htcall.ReasonMoved)
		}
		return dispatcher.Call(ctx, call)
	}
	forwarded := *call
	forwarded.Deadline = call.Deadline.Add(-forwardMargin)
	forwarded.Meta.Shard = shard.String()
	forwarded.Meta.View = r.ownership.View().Number
	forwarded.Meta.Remaining = forwarded.Remaining(r.now())
	if forwarded.Meta.Remaining <= 0 {
		return Refusal(htcall.ReasonDeadline)
	}
	answer, err := r.peers.Forward(ctx, owner, RoleDispatcher, &forwarded)
	if err == nil {
		return answer
	}
	logrus.WithFields(logrus.Fields{
		"event": "forward-failed", "host": owner.Host, "shard": shard.String(), "call": call.Meta.ID, "error": err,
	}).Warn("forwarding a call to the owner of its shard failed")
	if errors.Is(err, ErrNotSent) {
		return Refusal(htcall.ReasonConnect)
	}
	if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return UnknownOutcome(htcall.ReasonDeadline)
	}
	return UnknownOutcome(htcall.ReasonBroken)
}

// recordAnswer reports the load in the answer to the chooser, and a failure of the shard
// if the reason of the answer shows one.
func (r *Router) recordAnswer(shard string, answer *Answer) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer.Load != nil {
		r.chooser.Seen(now, shard, *answer.Load)
	}
	switch answer.Reason {
	case htcall.ReasonConnect, htcall.ReasonBroken, htcall.ReasonMoved, htcall.ReasonCutOff:
		r.chooser.Failed(now, shard)
	}
}

// choose returns the next target of the plan and excludes its failure domain from
// later attempts. It returns false if no target is left.
func (r *Router) choose(plan *plan) (htroute.Target, bool) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	target, ok := r.chooser.Choose(now, plan.targets, plan.excluded)
	if !ok {
		return htroute.Target{}, false
	}
	plan.exclude(target.Domain)
	r.chooser.Sent(now, target.Shard)
	return target, true
}

func (r *Router) spendBudget(state *serviceState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state.budget.Spend()
}

func (r *Router) service(service htresource.Service) *serviceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.services[service.Name]
	if state == nil {
		share := htresource.DefaultRetryShare
		if service.RetryShare != nil {
			share = *service.RetryShare
		}
		state = &serviceState{budget: htroute.NewBudget(share, retryBurst), latency: newLatencyTracker()}
		r.services[service.Name] = state
	}
	return state
}

func findService(set *htresource.Set, name string) (htresource.Service, htresource.Pool, bool) {
	for _, v := range set.Services {
		if v.Name == name {
			pool, ok := set.Pool(v.Pool)
			return v, pool, ok
		}
	}
	return htresource.Service{}, htresource.Pool{}, false
}

// targets returns the shards of the pool whose failure domains are not out.
func targets(set *htresource.Set, pool htresource.Pool) []htroute.Target {
	var list []htroute.Target
	for _, name := range pool.Domains() {
		if domain, ok := set.Domain(name); ok && domain.State == htresource.DomainOut {
			continue
		}
		list = append(list, htroute.Target{Shard: htview.PoolShard(pool.Name, name).String(), Domain: name})
	}
	return list
}

func shardOf(call *Call, target htroute.Target, set *htresource.Set) (htview.Shard, bool) {
	_, pool, ok := findService(set, call.Meta.Service)
	return htview.PoolShard(pool.Name, target.Domain), ok
}
