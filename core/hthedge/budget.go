package hthedge

import (
	"math"
	"time"
)

// burstWindow is the time constant with which past work loses weight. The share of this work
// is the most that the budget accumulates, so that a busy second after a quiet minute adds no
// burst of hedges.
const burstWindow = 10 * time.Second

// Budget is a token bucket of work for one service on one host. Its unit is the time for
// which a request is at an upstream, since that is the time for which it holds a slot there:
// a hedge of a call that has run for a second costs more than one of a call that has run for
// 100 ms, and a limit on the number of hedges would count both as one.
//
// Each host earns a share of its own work and spends no more than it has earned. The sum
// over all hosts therefore stays within the share of the sum of their work without any
// messages between them.
type Budget struct {
	share  float64
	tokens time.Duration
	recent float64 // work, decayed, in nanoseconds
	at     time.Time
	wanted time.Duration // cost of the last hedge that was asked for
}

// NewBudget returns an empty budget that earns a share, from 0 to 1, of the work.
func NewBudget(share float64) *Budget { return &Budget{share: share} }

// Earn adds the share of the work of an answer that was used.
func (b *Budget) Earn(now time.Time, work time.Duration) {
	if !b.at.IsZero() {
		b.recent *= math.Exp(-float64(max(0, now.Sub(b.at))) / float64(burstWindow))
	}
	b.at = now
	b.recent += float64(work)
	// One hedge may be saved up for, or hosts with few calls would never hedge.
	limit := max(time.Duration(b.share*b.recent), b.wanted)
	if b.tokens < limit {
		b.tokens = min(b.tokens+time.Duration(b.share*float64(work)), limit)
	}
}

// Covers reports whether the budget covers a hedge of an expected cost.
func (b *Budget) Covers(cost time.Duration) bool {
	b.wanted = cost
	return b.tokens >= cost
}

// Reserve takes the expected cost of a hedge.
func (b *Budget) Reserve(cost time.Duration) { b.tokens -= cost }

// Settle replaces the reserved cost of a hedge by the extra work that it caused. Work beyond
// the reserve leaves a debt that is earned back before the next hedge.
func (b *Budget) Settle(reserved, extra time.Duration) { b.tokens += reserved - extra }

// Tokens returns the extra work that the budget allows now; it is negative while in debt.
func (b *Budget) Tokens() time.Duration { return b.tokens }
