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

// delayedOwner rejects reports before a given time, as a new owner does that has not
// installed the shard yet.
type delayedOwner struct {
	from time.Time
	mu   sync.Mutex
	got  []string
}

// SendKeyResult implements HandoverPeers.
func (o *delayedOwner) SendKeyResult(_ context.Context, _ htview.Member, result KeyResult) error {
	return o.record(result.Key)
}

// SendSlotRelease implements HandoverPeers.
func (o *delayedOwner) SendSlotRelease(_ context.Context, _ htview.Member, release SlotRelease) error {
	return o.record(release.ID)
}

func (o *delayedOwner) record(id string) error {
	if time.Now().Before(o.from) {
		return errors.New("not served by this host")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.got = append(o.got, id)
	return nil
}

// singleOwner is an Ownership in which one member owns all shards.
type singleOwner struct{ Ownership }

// Owner implements Ownership.
func (singleOwner) Owner(htview.Shard) (htview.Member, bool) { return htview.Member{Host: "new"}, true }

// Guards against a copy of a booking that waits until its deadline and gets the outcome
// unknown. This happens if the new owner, which is slow on a busy machine, gets no
// report of how the booking ended.
func TestEndIsReportedToASlowOwner(t *testing.T) {
	for _, delay := range []time.Duration{0, 400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			owner := &delayedOwner{from: time.Now().Add(delay)}
			reporter := NewReporter(owner)
			reporter.reportKeyResult(singleOwner{}, KeyResult{Service: "shop", Key: "k"})
			reporter.reportSlotRelease(singleOwner{}, htview.Shard{}, "c")
			time.Sleep(time.Minute)
			owner.mu.Lock()
			defer owner.mu.Unlock()
			if len(owner.got) != 2 {
				t.Errorf("an owner that is ready after %v received %v", delay, owner.got)
			}
			if reporter.Pending() != 0 {
				t.Errorf("%d reports are still pending", reporter.Pending())
			}
		})
	}
}
