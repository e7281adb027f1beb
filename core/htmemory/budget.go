package htmemory

import (
	"sync"
	"time"
)

const (
	// reclaimWait bounds how long a reservation waits for memory that is being reclaimed.
	reclaimWait = 500 * time.Millisecond
	// reclaimRetry is the time after which a reservation that waits has memory reclaimed again: other
	// reservations may have taken it.
	reclaimRetry = 50 * time.Millisecond
)

// Budget is the number of bytes that all calls of a host may hold together. It is safe for
// concurrent use.
type Budget struct {
	limit   int64
	reclaim func(n int64) bool // nil if nothing can be reclaimed

	// reclaiming is held while memory is reclaimed for one reservation, so that one that is refused
	// does not count for others.
	reclaiming sync.Mutex

	mu       sync.Mutex // guards the fields below
	used     int64
	awaited  int64         // bytes of reservations that wait
	released chan struct{} // closed when bytes are released; nil if nothing waits for that
}

// NewBudget returns a Budget of limit bytes. If limit is 0, it returns nil, which has no
// bound.
func NewBudget(limit int64) *Budget {
	if limit == 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// OnShortage sets a function that is called when n bytes are short. It reports whether calls
// are being ended that hold as many. It is to be set before the first use.
func (b *Budget) OnShortage(reclaim func(n int64) bool) {
	if b != nil {
		b.reclaim = reclaim
	}
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

// reserve takes n bytes and reports whether the budget has them. It waits for bytes that can be
// reclaimed or, if it is patient, also for those that calls may give back.
func (b *Budget) reserve(n int64, patient bool) bool {
	short, released := b.tryReserve(n)
	if short <= 0 {
		return true
	}
	if n > b.limit || b.reclaim == nil {
		return false
	}
	reclaimed := b.reclaimFor(n)
	if !reclaimed && !patient {
		return false
	}
	defer func() {
		if reclaimed {
			b.await(-n)
		}
	}()
	timeout, retry := time.NewTimer(reclaimWait), time.NewTicker(reclaimRetry)
	defer timeout.Stop()
	defer retry.Stop()
	for {
		select {
		case <-released:
		case <-retry.C:
			if reclaimed {
				b.reclaimFor(0)
			} else {
				reclaimed = b.reclaimFor(n)
			}
		case <-timeout.C:
			return false
		}
		if short, released = b.tryReserve(n); short <= 0 {
			return true
		}
	}
}

// reclaimFor reclaims n bytes for one reservation, which waits for them then. What is reclaimed for one
// can't serve another, so as many are reclaimed as all need that wait. With n = 0 it reclaims for these.
func (b *Budget) reclaimFor(n int64) bool {
	b.reclaiming.Lock()
	defer b.reclaiming.Unlock()
	if b.reclaim(b.await(n)) {
		return true
	}
	b.await(-n)
	return false
}

// await adds n bytes to those that reservations wait for, and returns how many are short for all of
// them.
func (b *Budget) await(n int64) (short int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaited += n
	return b.awaited - (b.limit - b.used)
}

// tryReserve takes n bytes, or returns how many are short and a channel that is closed when
// some are released.
func (b *Budget) tryReserve(n int64) (short int64, released <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if short = n - (b.limit - b.used); short > 0 {
		if b.released == nil {
			b.released = make(chan struct{})
		}
		return short, b.released
	}
	b.used += n
	return 0, nil
}

func (b *Budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}
