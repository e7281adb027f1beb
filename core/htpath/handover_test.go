package htpath

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htonce"
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

// bootingOwner is an Ownership of a host that serves no shard until it is ready.
type bootingOwner struct {
	singleOwner
	ready bool
}

// Serving implements Ownership.
func (o *bootingOwner) Serving(htview.Shard) bool { return o.ready }

// LeaseUntil implements Ownership.
func (*bootingOwner) LeaseUntil(now time.Time) time.Time { return now.Add(testLease) }

// Guards against a copy of a booking that gets the outcome unknown although the booking
// has run: the previous owner reported its end, and stopped, before the new owner had
// installed the partition.
func TestEndReportedBeforeTheShardIsInstalled(t *testing.T) {
	for _, c := range []struct {
		name     string
		delay    time.Duration // from the report to the installation
		reported htcall.Outcome
		want     htcall.Outcome
	}{
		{"at once", 0, htcall.Done, htcall.Done},
		{"after the previous owner has stopped", 10 * time.Second, htcall.Done, htcall.Done},
		{"not run", 10 * time.Second, htcall.NotRun, htcall.NotRun},
		{"too late", earlyReportLifetime, htcall.Done, htcall.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(2 * htonce.DefaultMaxClockSkew)
				key := uuid.Must(uuid.NewV7()).String()
				shard := htview.KeyShard("shop", key)
				previous := htonce.New(htonce.Config{})
				if err := previous.Install(time.Now().Add(-time.Minute), shard, nil); err != nil {
					t.Fatal(err)
				}
				if _, ok := previous.Begin(time.Now(), time.Now().Add(testLease), "shop", key, "f").(htonce.Run); !ok {
					t.Fatal("the booking does not run at the previous owner")
				}
				state := previous.Export(time.Now(), shard)

				ownership := &bootingOwner{}
				owner := NewKeyOwner(htonce.Config{}, nil, time.Now)
				owner.Bind(ownership, nil)
				result := KeyResult{Service: "shop", Key: key, Outcome: c.reported, Answer: []byte{}}
				for range 2 { // the previous owner repeats a report that is rejected
					if owner.HandleKeyResult(result) == nil {
						t.Error("a report for a partition that is not served was accepted")
					}
				}
				time.Sleep(c.delay)
				owner.Install(shard, state)
				ownership.ready = true
				decision := owner.owner.Begin(time.Now(), time.Now().Add(testLease), "shop", key, "f")
				if got := answerFromDecision(decision).Outcome; got != c.want {
					t.Errorf("a copy of the booking got the outcome %q, want %q", got, c.want)
				}
			})
		})
	}
}

// Guards against slots that stay occupied until the deadline of a call that has ended.
func TestSlotReleasedBeforeTheShardIsInstalled(t *testing.T) {
	shard := htview.PoolShard("shop", "east")
	shards := NewShards(nil, nil, nil, time.Now)
	shards.Apply(clusterState())
	if shards.HandleSlotRelease(SlotRelease{Shard: shard.String(), ID: "c"}) == nil {
		t.Error("a report for a shard that is not served was accepted")
	}
	occupied := PoolState{Occupied: []occupiedSlot{{ID: "c", Upstream: "up-0", Remaining: time.Minute}, {ID: "d", Upstream: "up-0", Remaining: time.Minute}}}
	state, err := cbor.Marshal(occupied)
	if err != nil {
		t.Fatal(err)
	}
	shards.Install(shard, state)
	if got := shards.Dispatcher(shard).Freeze(nil).Occupied; len(got) != 1 || got[0].ID != "d" {
		t.Errorf("occupied slots after the release of c: %+v, want only d", got)
	}
}

// Guards against reports that grow without bound while a shard is not installed.
func TestEarlyReportsAreBounded(t *testing.T) {
	var early earlyReports[int]
	now := time.Now()
	for i := range 2 * maxEarlyReports {
		early.add(now, htview.Shard{Partition: i % 7}, strconv.Itoa(i), i)
	}
	if early.count != maxEarlyReports {
		t.Errorf("%d reports are kept, want %d", early.count, maxEarlyReports)
	}
	later := now.Add(earlyReportLifetime)
	early.add(later, htview.Shard{Partition: 1}, "late", 1)
	if got := early.take(later, htview.Shard{Partition: 1}); len(got) != 1 || early.count != 0 {
		t.Errorf("after the lifetime %v are left of %d", got, early.count)
	}
}
