package htselect

import "time"

// RetryLimit is the bound on sends beyond the first of each request, over all hosts:
// in any window at most Ratio of the first tries plus Extra.
type RetryLimit struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// retryShare of the bound is used, because a window of the bound and a bucket do
	// not end at the same time on all hosts.
	retryShare = 0.55
	// retryBurst is the most sends that a host may save up.
	retryBurst = 3.0
)

// retryBudget is this host's part of a RetryLimit for one service.
type retryBudget struct {
	limit  RetryLimit
	tokens float64
	since  time.Time
}

func newRetryBudget(limit RetryLimit, now time.Time) *retryBudget {
	return &retryBudget{limit: limit, tokens: 1, since: now}
}

// earn counts a first try.
func (b *retryBudget) earn(time.Time) {
	b.tokens = min(b.tokens+b.limit.Ratio*retryShare, retryBurst)
}

// spend takes the token of one more send, if reserve tokens are left then. Hosts is the number of hosts that share the
// extra sends.
func (b *retryBudget) spend(now time.Time, hosts int, reserve float64) bool {
	if b.limit.Window > 0 {
		passed := now.Sub(b.since).Seconds() / b.limit.Window.Seconds()
		b.tokens = min(b.tokens+passed*b.limit.Extra*retryShare/float64(max(hosts, 1)), retryBurst)
	}
	b.since = now
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// hedgeReserve is the number of tokens that hedges leave for calls that have failed.
const hedgeReserve = 1.0

// Retry takes the token of one more send to a service after a failure. It reports false
// if the budget is spent.
func (s *Selector) Retry(now time.Time, serviceName string) bool {
	sv := s.services[serviceName]
	return sv != nil && sv.budget.spend(now, s.group.Size(now), 0)
}

// Hedge takes the token of one more send to a service while an earlier one is under way.
func (s *Selector) Hedge(now time.Time, serviceName string) bool {
	sv := s.services[serviceName]
	return sv != nil && sv.budget.spend(now, s.group.Size(now), hedgeReserve)
}
