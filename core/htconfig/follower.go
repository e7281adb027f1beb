package htconfig

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htresource"
	"hawthornturn/core/httime"
)

// Timings of the follower: the interval between reads of the head, and the timeouts
// of one poll of the table and of one fetch from other hosts.
const (
	PollInterval = time.Second
	PollTimeout  = time.Second
	FetchTimeout = time.Second
)

// Snapshots transfers sets between this host and other hosts.
type Snapshots interface {
	// Fetch returns the set that a host has applied.
	Fetch(ctx context.Context, host string) (*htresource.Set, error)
	// Push sends a set to all other hosts and returns after each of them has applied
	// it or the request to it has failed.
	Push(ctx context.Context, set *htresource.Set) error
}

// HostRevision is a host and the revision that it last reported as applied.
type HostRevision struct {
	Host    string `json:"host" cbor:"host"`
	Applied uint64 `json:"applied" cbor:"applied"`
}

// Hosts lists the other hosts that may still send requests to upstreams: the members
// of the view, and the other hosts known to this host whose lease has not expired, as
// far as this host knows. It omits hosts whose process has ended. Package htview
// defines views and leases.
type Hosts interface {
	Others() []HostRevision
}

// Follower holds the set that this host has applied. It replaces the set only by one
// of a higher revision.
type Follower struct {
	name      string
	store     *Store
	snapshots Snapshots
	hosts     Hosts
	timer     *httime.Service

	mu          sync.Mutex      // serializes the application of sets
	pending     *htresource.Set // highest revision pushed before Ready
	subscribers map[int]func(*htresource.Set)
	nextID      int

	current atomic.Pointer[htresource.Set]
	applied atomic.Pointer[htresource.Set]

	// fetched holds the hosts from which a set was fetched since the table was last
	// read. Only Serve uses it.
	fetched map[string]bool
}

// NewFollower returns a Follower for the host called name.
func NewFollower(name string, store *Store, snapshots Snapshots, hosts Hosts, timer *httime.Service) *Follower {
	return &Follower{
		name: name, store: store, snapshots: snapshots, hosts: hosts, timer: timer,
		subscribers: map[int]func(*htresource.Set){},
		fetched:     map[string]bool{},
	}
}

// Serve applies new revisions of the declared state until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	tick := f.timer.Subscribe("config-poll", PollInterval)
	defer tick.Stop()
	f.catchUp(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			f.catchUp(ctx)
		}
	}
}

// Ready reports whether a set has been applied.
func (f *Follower) Ready() bool {
	return f.applied.Load() != nil
}

// Current returns the newest set, or nil if there is none yet. It changes before the
// subscribers are notified, so it may be newer than Applied, and the first set is
// returned before Ready reports true.
func (f *Follower) Current() *htresource.Set {
	return f.current.Load()
}

// Applied returns the revision that every subscriber has received, or 0 if there is
// none.
func (f *Follower) Applied() uint64 {
	if set := f.applied.Load(); set != nil {
		return set.Revision
	}
	return 0
}

// Subscribe calls notify with the current set, if there is one, and then with each
// new set in order. A set counts as applied only after all calls have returned, so
// notify must not block. The returned function ends the subscription.
func (f *Follower) Subscribe(notify func(*htresource.Set)) (stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.subscribers[id] = notify
	if set := f.current.Load(); set != nil {
		notify(set)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, id)
	}
}

// HandlePush applies a set that another host pushed. Before Ready it only stores the
// set: a delayed push may be outdated, so a starting host must first read the table
// or ask all peers.
func (f *Follower) HandlePush(set *htresource.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Load() != nil {
		f.apply(set)
		return
	}
	if f.pending == nil || set.Revision > f.pending.Revision {
		f.pending = set
	}
}

// accept applies a set that was read from the table, written through this host or
// fetched from the peers. The first call applies the pending set instead if that one
// is newer.
func (f *Follower) accept(set *htresource.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Load() == nil && f.pending != nil && f.pending.Revision > set.Revision {
		set = f.pending
	}
	f.pending = nil
	f.apply(set)
}

// apply makes set the current one if its revision is higher than the current one's.
// The caller holds mu.
func (f *Follower) apply(set *htresource.Set) {
	current := f.current.Load()
	if current != nil && set.Revision <= current.Revision {
		consistent := set.Revision != current.Revision || len(htresource.Diff(current, set)) == 0
		htassert.That(consistent, htassert.ConfigMonotonic, "host %s: two different sets at revision %d", f.name, set.Revision)
		return
	}
	f.current.Store(set)
	for id := range f.nextID {
		if notify := f.subscribers[id]; notify != nil {
			notify(set)
		}
	}
	previous := f.applied.Swap(set)
	htassert.That(previous == nil || previous.Revision < set.Revision, htassert.ConfigMonotonic,
		"host %s: applied revision %d after %d", f.name, set.Revision, revisionOf(previous))
	logrus.WithFields(logrus.Fields{"event": "config-applied", "host": f.name, "revision": set.Revision}).Info("configuration applied")
}

func revisionOf(set *htresource.Set) uint64 {
	if set == nil {
		return 0
	}
	return set.Revision
}

// catchUp polls the table. If that fails, it fetches from the peers that have applied
// a higher revision or have not been fetched from since the last successful poll.
func (f *Follower) catchUp(ctx context.Context) {
	err := f.poll(ctx)
	if err == nil {
		clear(f.fetched)
		return
	}
	var targets []string
	for _, h := range f.hosts.Others() {
		if !f.fetched[h.Host] || h.Applied > f.Applied() {
			targets = append(targets, h.Host)
		}
	}
	if len(targets) == 0 {
		return
	}
	if fetchErr := f.fetchFrom(ctx, targets); fetchErr != nil && !f.Ready() {
		logrus.WithFields(logrus.Fields{"event": "config-not-obtained", "host": f.name, "table": err, "peers": fetchErr}).Warn("no configuration yet")
	}
}

// poll reads the head of the table and, if its revision is new, applies the set.
func (f *Follower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	before := f.Applied()
	head, err := f.store.Head(ctx)
	if err != nil {
		return err
	}
	htassert.That(head >= before, htassert.ConfigMonotonic, "host %s: table is at revision %d, below the applied revision %d", f.name, head, before)
	if f.Ready() && head <= f.Applied() {
		return nil
	}
	state, err := f.store.Load(ctx)
	if err != nil {
		return err
	}
	f.accept(state.Set)
	return nil
}

// fetchFrom fetches from all hosts concurrently and applies the highest revision. It
// fails if no host returned a set.
func (f *Follower) fetchFrom(ctx context.Context, hosts []string) error {
	ctx, cancel := context.WithTimeout(ctx, FetchTimeout)
	defer cancel()
	type response struct {
		host string
		set  *htresource.Set
		err  error
	}
	responses := make(chan response, len(hosts))
	for _, host := range hosts {
		go func() {
			set, err := f.snapshots.Fetch(ctx, host)
			responses <- response{host, set, err}
		}()
	}
	var highest *htresource.Set
	var lastErr error
	for range hosts {
		r := <-responses
		if r.err == nil && r.set == nil {
			r.err = fmt.Errorf("host %s has no configuration set yet", r.host)
		}
		if r.err != nil {
			lastErr = r.err
			continue
		}
		f.fetched[r.host] = true
		if highest == nil || r.set.Revision > highest.Revision {
			highest = r.set
		}
	}
	if highest == nil {
		return lastErr
	}
	f.accept(highest)
	return nil
}
