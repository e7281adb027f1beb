package htmemory

import (
	"sync"
)

// Budget is the number of bytes that all calls of a host may hold together. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// NewBudget returns a Budget of limit bytes. If limit is 0, it returns nil, which has no
// bound.
func NewBudget(limit int64) *Budget {
	if limit == 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Used returns the bytes that are held now, or 0 without a bound.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (b *Budget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.limit-b.used {
		return false
	}
	b.used += n
	return true
}

func (b *Budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}
