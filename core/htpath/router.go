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
	// forwardMargin is taken off the time that the next host gets, so that its
	// refusal for a passed deadline still arrives in time.
	forwardMargin = 5 * time.Millisecond
	// movedPause is the time between tries while a shard is handed over.
	movedPause = 10 * time.Millisecond
	// retryBurst is the number of retries a service can make at once.
	retryBurst = 10
)

// LocalShards gives the dispatchers of the shards that this host owns.
type LocalShards interface {
	// Dispatcher returns nil if the host does not run the shard.
	Dispatcher(s htview.Shard) *Dispatcher
}

// Router sends a call to the dispatcher of one of its pool's failure domains, and
// retries or hedges it where that is safe and within the budget.
type Router struct {
	self       string
	own        Ownership
	declared   DeclaredState
	peers      Peers
	local      LocalShards
	quarantine *Quarantine
	now        func() time.Time

	mu       sync.Mutex
	chooser  *htroute.Router
	services map[string]*serviceState
}

// serviceState is what the router keeps of one service.
type serviceState struct {
	budget  *htroute.Budget
	latency *latencyTracker
}

// NewRouter returns a router of the host named self.
func NewRouter(self string, own Ownership, declared DeclaredState, peers Peers, local LocalShards, quarantine *Quarantine, chooser *htroute.Router, now func() time.Time) *Router {
	return &Router{
		self:       self,
		own:        own,
		declared:   declared,
		peers:      peers,
		local:      local,
		quarantine: quarantine,
		now:        now,
		chooser:    chooser,
		services:   map[string]*serviceState{},
	}
}

// Route runs the call and returns what came of it.
func (r *Router) Route(ctx context.Context, call *Call) *Answer {
	set := r.declared.Current()
	if set == nil {
		return Refusal(htcall.ReasonNotReady)
	}
	service, pool, ok := find(set, call.Meta.Service)
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
		return r.hedged(ctx, call, state, plan)
	}
	return r.sequence(ctx, call, state, plan)
}

// plan is what is left to try for one call. Its methods are called under Router.mu.
type plan struct {
	targets  []htroute.Target
	excluded []string
	spared   bool // a refusal was followed by a try outside the budget
}

func (p *plan) exclude(domain string) {
	p.excluded = append(p.excluded, domain)
}

// exhausted reports whether every failure domain was tried.
func (p *plan) exhausted() bool {
	return len(p.excluded) >= len(p.targets)
}

// sequence tries one failure domain after the other for as long as the request
// provably did not run, or is idempotent and within the retry budget.
func (r *Router) sequence(ctx context.Context, call *Call, state *serviceState, plan *plan) *Answer {
	var result tries
	for {
		target, ok := r.choose(plan)
		if !ok {
			return result.add(Refusal(htcall.ReasonNoUpstream))
		}
		answer := r.attempt(ctx, call, target)
		if !r.again(ctx, call, state, plan, answer) {
			return result.add(answer)
		}
		result.add(answer).Discard()
	}
}

// tries sums up the tries of one call.
type tries struct {
	undecided *Answer // the first try that may have run
}

// add returns what the caller may be told if the call ends with the answer. A
// refusal of a later try does not undo an earlier one that may have run.
func (t *tries) add(answer *Answer) *Answer {
	if answer.Outcome == htcall.Unknown && t.undecided == nil {
		t.undecided = answer
	}
	if answer.Outcome == htcall.NotRun && t.undecided != nil {
		return t.undecided
	}
	return answer
}

// again decides whether another try may follow the answer, and pauses while a shard
// is being handed over.
func (r *Router) again(ctx context.Context, call *Call, state *serviceState, plan *plan, answer *Answer) bool {
	if answer.Outcome == htcall.Done || ctx.Err() != nil || !call.Body.Replayable() {
		return false
	}
	if answer.Outcome == htcall.Unknown {
		return call.Meta.Idempotent && !answer.Crash && !r.allExhausted(plan) && r.spend(state)
	}
	switch answer.Reason {
	case htcall.ReasonMoved, htcall.ReasonCutOff:
		return r.pause(ctx, call)
	case htcall.ReasonRefused:
		return !r.allExhausted(plan) && (r.spareRefusal(plan, answer) || r.spend(state))
	case htcall.ReasonQueueFull, htcall.ReasonConnect, htcall.ReasonNoUpstream, htcall.ReasonDomainOut, htcall.ReasonDeadline:
		return !r.allExhausted(plan) && call.Remaining(r.now()) > forwardMargin
	default:
		return false
	}
}

// spareRefusal allows one try per call after a refusal without spending budget: a
// refused request cost the upstream no work. It does not if the pool is shedding.
func (r *Router) spareRefusal(plan *plan, answer *Answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if plan.spared || answer.Load == nil || answer.Load.Shedding {
		return false
	}
	plan.spared = true
	return true
}

func (r *Router) allExhausted(plan *plan) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return plan.exhausted()
}

// pause waits before the next try while ownership changes. It reports false if the
// deadline is too close.
func (r *Router) pause(ctx context.Context, call *Call) bool {
	if call.Remaining(r.now()) <= movedPause+forwardMargin {
		return false
	}
	timer := time.NewTimer(movedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the call to the owner of one shard.
func (r *Router) attempt(ctx context.Context, call *Call, target htroute.Target) *Answer {
	shard, ok := shardOf(call, target, r.declared.Current())
	if !ok {
		return Refusal(htcall.ReasonNoUpstream)
	}
	owner, ok := r.own.Owner(shard)
	if !ok {
		return Refusal(htcall.ReasonMoved)
	}
	answer := r.deliver(ctx, call, shard, owner)
	r.learn(target.Shard, answer)
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
	forwarded.Meta.View = r.own.View().Number
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
	}).Warn("call not forwarded")
	if errors.Is(err, ErrNotSent) {
		return Refusal(htcall.ReasonConnect)
	}
	if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return UnknownOutcome(htcall.ReasonDeadline)
	}
	return UnknownOutcome(htcall.ReasonBroken)
}

// learn passes what an answer says of the shard to the chooser.
func (r *Router) learn(shard string, answer *Answer) {
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

// choose picks the next target of the plan and excludes its failure domain from
// later tries.
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

func (r *Router) spend(state *serviceState) bool {
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

func find(set *htresource.Set, name string) (htresource.Service, htresource.Pool, bool) {
	for _, v := range set.Services {
		if v.Name == name {
			pool, ok := set.Pool(v.Pool)
			return v, pool, ok
		}
	}
	return htresource.Service{}, htresource.Pool{}, false
}

// targets lists the shards of the pool in failure domains that take work.
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
	_, pool, ok := find(set, call.Meta.Service)
	return htview.PoolShard(pool.Name, target.Domain), ok
}
