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

// Timings of the follower.
const (
	PollInterval = time.Second
	PollTimeout  = time.Second
	FetchTimeout = time.Second
)

// Snapshots exchanges sets with other hosts.
type Snapshots interface {
	// Fetch returns the set that a host has applied.
	Fetch(ctx context.Context, host string) (*htresource.Set, error)
	// Push sends a set to all other hosts and returns after each has applied it or
	// failed.
	Push(ctx context.Context, set *htresource.Set) error
}

// HostRevision is a host with the revision that it last reported as applied.
type HostRevision struct {
	Host    string `json:"host" cbor:"host"`
	Applied uint64 `json:"applied" cbor:"applied"`
}

// Hosts lists the other hosts that could still send work: the members of the view
// and the hosts seen whose lease has not lapsed.
type Hosts interface {
	Others() []HostRevision
}

// Follower holds the set that this host has applied. It applies only higher
// revisions.
type Follower struct {
	name      string
	store     *Store
	snapshots Snapshots
	hosts     Hosts
	timer     *httime.Service

	mu          sync.Mutex // orders the applying of sets
	pending     *htresource.Set
	subscribers map[int]func(*htresource.Set)
	nextID      int

	current atomic.Pointer[htresource.Set]
	applied atomic.Pointer[htresource.Set]

	// asked holds the hosts that have given their set since the table was last
	// reached. Only Serve uses it.
	asked map[string]bool
}

// NewFollower returns the Follower of the host name.
func NewFollower(name string, store *Store, snapshots Snapshots, hosts Hosts, timer *httime.Service) *Follower {
	return &Follower{
		name: name, store: store, snapshots: snapshots, hosts: hosts, timer: timer,
		subscribers: map[int]func(*htresource.Set){},
		asked:       map[string]bool{},
	}
}

// Serve follows the declared state until ctx ends.
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

// Ready reports whether a first set was obtained.
func (f *Follower) Ready() bool {
	return f.applied.Load() != nil
}

// Current returns the newest set, or nil before Ready.
func (f *Follower) Current() *htresource.Set {
	return f.current.Load()
}

// Applied returns the revision that every subscriber has taken.
func (f *Follower) Applied() uint64 {
	if set := f.applied.Load(); set != nil {
		return set.Revision
	}
	return 0
}

// Subscribe calls take with the current set, if there is one, and with each set
// that follows, in order. A set counts as applied after all calls have returned,
// so take must not block. The returned function ends the subscription.
func (f *Follower) Subscribe(take func(*htresource.Set)) (stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.subscribers[id] = take
	if set := f.current.Load(); set != nil {
		take(set)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, id)
	}
}

// HandlePush takes a set that another host pushed. Before Ready the set is only
// remembered: it may be an old one that was delayed, and a starting host must
// first ask the table or all peers.
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

// accept takes a set that was read from the table, accepted here or obtained from
// the peers.
func (f *Follower) accept(set *htresource.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Load() == nil && f.pending != nil && f.pending.Revision > set.Revision {
		set = f.pending
	}
	f.pending = nil
	f.apply(set)
}

// apply makes set the current one if its revision is higher. The caller holds mu.
func (f *Follower) apply(set *htresource.Set) {
	current := f.current.Load()
	if current != nil && set.Revision <= current.Revision {
		same := set.Revision != current.Revision || len(htresource.Diff(current, set)) == 0
		htassert.That(same, htassert.ConfigMonotonic, "host %s: two sets at revision %d", f.name, set.Revision)
		return
	}
	f.current.Store(set)
	for id := range f.nextID {
		if take := f.subscribers[id]; take != nil {
			take(set)
		}
	}
	previous := f.applied.Swap(set)
	htassert.That(previous == nil || previous.Revision < set.Revision, htassert.ConfigMonotonic,
		"host %s: applied revision %d after %d", f.name, set.Revision, previousRevision(previous))
	logrus.WithFields(logrus.Fields{"event": "config-applied", "host": f.name, "revision": set.Revision}).Info("configuration applied")
}

func previousRevision(set *htresource.Set) uint64 {
	if set == nil {
		return 0
	}
	return set.Revision
}

// catchUp reads the table and, if that fails, the peers that may know more.
func (f *Follower) catchUp(ctx context.Context) {
	err := f.poll(ctx)
	if err == nil {
		clear(f.asked)
		return
	}
	var ask []string
	for _, h := range f.hosts.Others() {
		if !f.asked[h.Host] || h.Applied > f.Applied() {
			ask = append(ask, h.Host)
		}
	}
	if len(ask) == 0 {
		return
	}
	if fetchErr := f.fetchFrom(ctx, ask); fetchErr != nil && !f.Ready() {
		logrus.WithFields(logrus.Fields{"event": "config-not-obtained", "host": f.name, "table": err, "peers": fetchErr}).Warn("no configuration yet")
	}
}

func (f *Follower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	before := f.Applied()
	head, err := f.store.Head(ctx)
	if err != nil {
		return err
	}
	htassert.That(head >= before, htassert.ConfigMonotonic, "host %s: table at revision %d, applied %d", f.name, head, before)
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

// fetchFrom asks hosts at the same time and applies the highest revision. It
// fails if no host answered.
func (f *Follower) fetchFrom(ctx context.Context, hosts []string) error {
	ctx, cancel := context.WithTimeout(ctx, FetchTimeout)
	defer cancel()
	type answer struct {
		host string
		set  *htresource.Set
		err  error
	}
	answers := make(chan answer, len(hosts))
	for _, host := range hosts {
		go func() {
			set, err := f.snapshots.Fetch(ctx, host)
			answers <- answer{host, set, err}
		}()
	}
	var highest *htresource.Set
	var firstErr error
	for range hosts {
		a := <-answers
		if a.err == nil && a.set == nil {
			a.err = fmt.Errorf("%s has no set yet", a.host)
		}
		if a.err != nil {
			firstErr = a.err
			continue
		}
		f.asked[a.host] = true
		if highest == nil || a.set.Revision > highest.Revision {
			highest = a.set
		}
	}
	if highest == nil {
		return firstErr
	}
	f.accept(highest)
	return nil
}
