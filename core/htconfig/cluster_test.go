package htconfig

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htresource"
	"hawthornturn/core/httable"
	"hawthornturn/core/httime"
	"hawthornturn/internal/httabletest"
)

func TestMain(m *testing.M) {
	htassert.PanicOnViolation.Store(true)
	logrus.SetOutput(io.Discard)
	_ = flag.Set("rapid.seed", "17")
	// Runs on one thread, as in htview: with the race detector, go1.26.8 crashed in
	// runtime.(*timer).maybeRunChan in 2 of 7,000 rounds of one cell, and in none of 6,000
	// with one thread.
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// link is the connection of one host to the table, with injected faults.
type link struct {
	*httabletest.Memory
	mu            sync.Mutex
	down          bool
	delay         time.Duration
	gate          chan struct{} // while not nil, calls block before they reach the table
	commitGate    chan struct{} // like gate, for commits
	responsesLost bool          // same effect as down: reads, scans and commits fail before they reach the table
	commitLosses  []loss        // faults of the next commits, one each
}

type loss int

const (
	lossNone         loss = iota
	lossResponse          // applied, response lost
	lossAllResponses      // applied, this response and those of all later calls lost
	lossRequest           // not applied
	lossLate              // applied 300 ms after the caller got ErrResultUnknown
)

func (l *link) set(change func(*link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// injectFaults delays or fails a call according to the faults of the link.
func (l *link) injectFaults(ctx context.Context) error {
	l.mu.Lock()
	down, delay, gate := l.down || l.responsesLost, l.delay, l.gate
	l.mu.Unlock()
	if gate != nil {
		<-gate
	}
	if down {
		return httable.ErrUnavailable
	}
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", httable.ErrUnavailable, ctx.Err())
	case <-time.After(delay):
		return nil
	}
}

func (l *link) Read(ctx context.Context, keys ...string) (httable.Snapshot, error) {
	if err := l.injectFaults(ctx); err != nil {
		return httable.Snapshot{}, err
	}
	return l.Memory.Read(ctx, keys...)
}

func (l *link) Scan(ctx context.Context, prefix string) (httable.Snapshot, error) {
	if err := l.injectFaults(ctx); err != nil {
		return httable.Snapshot{}, err
	}
	return l.Memory.Scan(ctx, prefix)
}

func (l *link) Commit(ctx context.Context, txn httable.Txn) (uint64, error) {
	if err := l.injectFaults(ctx); err != nil {
		return 0, err
	}
	fault := lossNone
	l.set(func(l *link) {
		if len(l.commitLosses) > 0 {
			fault, l.commitLosses = l.commitLosses[0], l.commitLosses[1:]
		}
	})
	if l.commitGate != nil {
		<-l.commitGate
	}
	switch fault {
	case lossAllResponses:
		_, _ = l.Memory.Commit(ctx, txn)
		l.set(func(l *link) { l.responsesLost, l.down = true, true })
		return 0, httable.ErrResultUnknown
	case lossResponse:
		_, _ = l.Memory.Commit(ctx, txn)
		return 0, httable.ErrResultUnknown
	case lossRequest:
		return 0, httable.ErrResultUnknown
	case lossLate:
		time.AfterFunc(300*time.Millisecond, func() { _, _ = l.Memory.Commit(ctx, txn) })
		return 0, httable.ErrResultUnknown
	}
	return l.Memory.Commit(ctx, txn)
}

// host is one entry host of a cluster.
type host struct {
	name              string
	link              *link
	store             *Store
	follower          *Follower
	writer            *Writer
	cancel            context.CancelFunc
	cluster           *cluster
	seen              []uint64          // guarded by follower.mu
	reportedRevisions map[string]uint64 // applied revisions from heartbeats
}

// cluster is a set of hosts with a shared table and a network that can be cut.
type cluster struct {
	t     *testing.T
	table *httabletest.Memory
	hosts []*host
	mu    sync.Mutex
	cut   map[[2]string]bool // from, to
	txns  int
}

func newCluster(t *testing.T, hosts int) *cluster {
	c := &cluster{
		t: t, table: httabletest.New(), cut: map[[2]string]bool{},
	}
	for i := range hosts {
		c.add(fmt.Sprintf("host-%d", i)).start()
	}
	synctest.Wait()
	return c
}

func (c *cluster) add(name string) *host {
	h := &host{name: name, cluster: c, link: &link{Memory: c.table}, reportedRevisions: map[string]uint64{}}
	h.store = NewStore(h.link, c.newID)
	h.follower = NewFollower(name, h.store, h, h, httime.New())
	h.writer = NewWriter(h.store, h.follower, h)
	h.follower.Subscribe(func(s *htresource.Set) { h.seen = append(h.seen, s.Revision) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	return h
}

func (c *cluster) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.txns++
	return fmt.Sprintf("txn-%d", c.txns)
}

// setCut cuts or heals the network from one host to another, in this direction only.
func (c *cluster) setCut(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{from, to}] = cut
}

func (c *cluster) others(name string) []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.hosts), func(h *host) bool { return h.name == name })
}

// reachable reports whether a request from one host to another gets a response,
// which needs both directions.
func (c *cluster) reachable(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cut[[2]string{from, to}] && !c.cut[[2]string{to, from}]
}

func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { _ = h.follower.Serve(ctx) }()
	go h.heartbeats(ctx)
}

func (h *host) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for _, o := range h.cluster.others(h.name) {
			if h.cluster.reachable(h.name, o.name) {
				h.cluster.mu.Lock()
				h.reportedRevisions[o.name] = o.follower.Applied()
				h.cluster.mu.Unlock()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// revisions returns the revisions that a subscriber has received.
func (h *host) revisions() []uint64 {
	h.follower.mu.Lock()
	defer h.follower.mu.Unlock()
	return slices.Clone(h.seen)
}

// kill stops the host and removes it from the membership.
func (h *host) kill() {
	h.cancel()
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	h.cluster.hosts = slices.DeleteFunc(h.cluster.hosts, func(o *host) bool { return o == h })
}

func (h *host) Others() []HostRevision {
	others := h.cluster.others(h.name)
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	var all []HostRevision
	for _, o := range others {
		all = append(all, HostRevision{Host: o.name, Applied: h.reportedRevisions[o.name]})
	}
	return all
}

func (h *host) Fetch(ctx context.Context, name string) (*htresource.Set, error) {
	for _, o := range h.cluster.others(h.name) {
		if o.name == name && h.cluster.reachable(h.name, name) {
			return o.follower.Current(), nil
		}
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (h *host) Push(ctx context.Context, set *htresource.Set) error {
	for _, o := range h.cluster.others(h.name) {
		if h.cluster.reachable(h.name, o.name) {
			o.follower.HandlePush(set)
		}
	}
	return ctx.Err()
}

// domains returns a set of failure domains, given as NAME:STATE.
func domains(specs ...string) *htresource.Set {
	set := &htresource.Set{}
	for _, spec := range specs {
		name, state, _ := strings.Cut(spec, ":")
		set.Add(htresource.FailureDomain{Name: name, State: htresource.DomainState(state)})
	}
	return set
}

func (h *host) apply(set *htresource.Set, expect Precondition) (Result, error) {
	return h.writer.Apply(context.Background(), set, expect, false)
}

// mustApply applies a set and fails the test unless it is accepted. It returns the
// revision.
func (h *host) mustApply(specs ...string) uint64 {
	h.cluster.t.Helper()
	result, err := h.apply(domains(specs...), Precondition{Any: true})
	if err != nil {
		h.cluster.t.Fatalf("apply at %s: %v", h.name, err)
	}
	return result.Revision
}

// check fails the test unless every host has applied revision and has seen strictly
// increasing revisions, and the table has applied as many transactions as revision
// says.
func (c *cluster) check(revision uint64) {
	c.t.Helper()
	for _, h := range c.hosts {
		if h.follower.Applied() != revision {
			c.t.Errorf("%s applied %d, want %d", h.name, h.follower.Applied(), revision)
		}
		seen := h.revisions()
		if !slices.IsSorted(seen) || len(slices.Compact(slices.Clone(seen))) != len(seen) {
			c.t.Errorf("%s saw revisions %v", h.name, seen)
		}
	}
	if uint64(len(c.table.AppliedIDs())) != revision {
		c.t.Errorf("the table applied %v, want %d transactions", c.table.AppliedIDs(), revision)
	}
}

func (c *cluster) stop() {
	for _, h := range c.hosts {
		h.cancel()
	}
	time.Sleep(2 * WriteTimeout) // lets goroutines end, as virtual time stops when the test function returns
}
