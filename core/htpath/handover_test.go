package htpath

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htview"
)

// slowOwner takes reports only from a time on, as a new owner does that has yet to
// install the shard.
type slowOwner struct {
	from time.Time
	mu   sync.Mutex
	got  []string
}

// SendKeyResult implements HandoverPeers.
func (o *slowOwner) SendKeyResult(_ context.Context, _ htview.Member, end KeyResult) error {
	return o.take(end.Key)
}

// SendSlotRelease implements HandoverPeers.
func (o *slowOwner) SendSlotRelease(_ context.Context, _ htview.Member, end SlotRelease) error {
	return o.take(end.ID)
}

func (o *slowOwner) take(id string) error {
	if time.Now().Before(o.from) {
		return errors.New("not served here")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.got = append(o.got, id)
	return nil
}

// oneOwner is an Ownership in which one member owns all shards.
type oneOwner struct{ Ownership }

// Owner implements Ownership.
func (oneOwner) Owner(htview.Shard) (htview.Member, bool) { return htview.Member{Host: "new"}, true }

// Guards against a copy of a booking that waits until its deadline and is told unknown,
// because the new owner, slow on a busy machine, got no report of how the booking ended.
func TestEndIsReportedToASlowOwner(t *testing.T) {
	for _, delay := range []time.Duration{0, 400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			owner := &slowOwner{from: time.Now().Add(delay)}
			reporter := NewReporter(owner)
			reporter.keyEnd(oneOwner{}, KeyResult{Service: "shop", Key: "k"})
			reporter.slotEnd(oneOwner{}, htview.Shard{}, "c")
			time.Sleep(time.Minute)
			owner.mu.Lock()
			defer owner.mu.Unlock()
			if len(owner.got) != 2 {
				t.Errorf("an owner that is ready after %v got %v", delay, owner.got)
			}
			if reporter.Pending() != 0 {
				t.Errorf("%d reports pend for ever", reporter.Pending())
			}
		})
	}
}
