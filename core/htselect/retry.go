package htselect

import "time"

// RetryLimit bounds the retries and hedges, summed over all hosts: in any window at most
// Ratio times the first attempts plus Extra.
type RetryLimit struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// retryBudgetShare is the fraction of the limit that is used, because the window of the
	// limit and the token buckets of the hosts are not aligned in time.
	retryBudgetShare = 0.55
	// retryBurst is the most tokens that a host accumulates.
	retryBurst = 3.0
)

// retryBudget is this host's token bucket for one service under a RetryLimit.
type retryBudget struct {
	limit  RetryLimit
	tokens float64
	since  time.Time
}

func newRetryBudget(limit RetryLimit, now time.Time) *retryBudget {
	return &retryBudget{limit: limit, tokens: 1, since: now}
}

// earn adds the tokens of a first attempt.
func (b *retryBudget) earn(time.Time) {
	b.tokens = min(b.tokens+b.limit.Ratio*retryBudgetShare, retryBurst)
}

// spend takes the token of one retry if reserve tokens are left afterwards. Extra is
// divided by hosts.
func (b *retryBudget) spend(now time.Time, hosts int, reserve float64) bool {
	if b.limit.Window > 0 {
		passed := now.Sub(b.since).Seconds() / b.limit.Window.Seconds()
		b.tokens = min(b.tokens+passed*b.limit.Extra*retryBudgetShare/float64(max(hosts, 1)), retryBurst)
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

// Retry takes the token of one more send to a service after a failure. It returns false if
// the budget is spent.
func (s *Selector) Retry(now time.Time, serviceName string) bool {
	sv := s.services[serviceName]
	return sv != nil && sv.budget.spend(now, s.group.Size(now), 0)
}

// Hedge takes the token of one more send to a service while an earlier one is in flight. It
// returns false if the budget is spent.
func (s *Selector) Hedge(now time.Time, serviceName string) bool {
	sv := s.services[serviceName]
	return sv != nil && sv.budget.spend(now, s.group.Size(now), hedgeReserve)
}
