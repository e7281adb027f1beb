package htview

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornturn/core/httable"
	"hawthornturn/core/httime"
)

// Manager keeps one host in the view and decides which shards it serves.
type Manager struct {
	owners ownerCache

	cfg      Config
	table    httable.Table
	peers    Peers
	hosts    HostList
	handover Handover
	gossip   GossipSource
	timers   *httime.Service

	renewNow   chan struct{}
	observeNow chan struct{}

	// transition serialises changes of the view acted under and of the served
	// shards. It is held while Handover runs; mu is not.
	transition sync.Mutex

	mu       sync.RWMutex
	self     Member
	rejoins  int
	joinedAt uint64 // number of the view in which self joined; 0 when not a member
	view     View   // view acted under
	acted    uint64 // number told to others; it follows view once moved shards are collected
	newest   View   // newest view known; ahead of view while a hold runs
	history  map[uint64]View
	// settled is the highest view number for which the table showed that no host
	// outside that view may still serve under an older one. It never becomes untrue.
	settled uint64

	row       tableView
	lease     leaseState
	leases    map[string]observedLease // by host
	peerByID  map[string]*peer
	holdUntil time.Time  // end of the last hold given
	inDoubt   []*removal // removals whose result is unknown

	shards   map[Shard]struct{}
	serving  map[Shard]struct{}
	pending  map[Shard]struct{} // owned and not served yet
	tokens   map[Shard]Release  // state received for shards not served yet
	releases sync.WaitGroup

	phase phase
}

// phase is how far a planned stop has come.
type phase int

const (
	running phase = iota
	leaving       // no lease writes, no joining
	stopped       // serves nothing for good
)

// tableView is the view row as last read from the table.
type tableView struct {
	view    View
	version uint64
}

// New returns a Manager that is not a member yet. Serve makes it join.
func New(cfg Config, table httable.Table, peers Peers, hosts HostList, handover Handover, gossip GossipSource, timers *httime.Service) *Manager {
	cfg = cfg.withDefaults()
	m := &Manager{
		cfg: cfg, peers: peers, hosts: hosts, handover: handover, gossip: gossip, timers: timers,
		renewNow:   make(chan struct{}, 1),
		observeNow: make(chan struct{}, 1),
		self:       cfg.Self,
		history:    map[uint64]View{},
		leases:     map[string]observedLease{},
		peerByID:   map[string]*peer{},
		shards:     map[Shard]struct{}{},
		serving:    map[Shard]struct{}{},
		pending:    map[Shard]struct{}{},
		tokens:     map[Shard]Release{},
	}
	m.table = tableLink{table: table, now: timers.Now, reached: m.reached}
	m.lease.duration = cfg.LeaseDuration
	for n := range KeyPartitions {
		m.shards[Shard{Partition: n}] = struct{}{}
	}
	return m
}

// Serve joins the view and keeps the membership until ctx ends.
func (m *Manager) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.every(ctx, "observe", m.cfg.LeaseRenewInterval, m.observeNow, m.observe) })
	group.Go(func() error { return m.every(ctx, "renew", m.cfg.LeaseRenewInterval, m.renewNow, m.renew) })
	group.Go(func() error { return m.every(ctx, "heartbeat", m.cfg.HeartbeatInterval, nil, m.beat) })
	group.Go(func() error { return m.every(ctx, "install", installEvery, nil, m.step) })
	group.Go(func() error { return m.every(ctx, "host-list", listEvery, nil, m.readList) })
	return group.Wait()
}

// every runs job at once, at each tick and when woken, one run at a time.
func (m *Manager) every(ctx context.Context, name string, period time.Duration, wake <-chan struct{}, job func(context.Context)) error {
	ticks := m.timers.Subscribe("membership-"+name, period)
	defer ticks.Stop()
	for {
		job(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		case <-wake:
		}
	}
}

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetShards declares the pool shards that exist. The key partitions always do.
func (m *Manager) SetShards(pools []Shard) {
	m.transition.Lock()
	defer m.transition.Unlock()
	wanted := make(map[Shard]struct{}, len(pools)+KeyPartitions)
	for n := range KeyPartitions {
		wanted[Shard{Partition: n}] = struct{}{}
	}
	for _, s := range pools {
		wanted[s] = struct{}{}
	}
	m.mu.Lock()
	var dropped []Shard
	for s := range m.serving {
		if _, ok := wanted[s]; !ok {
			delete(m.serving, s)
			delete(m.tokens, s)
			dropped = append(dropped, s)
		}
	}
	m.shards = wanted
	m.pendLocked()
	m.mu.Unlock()
	for _, s := range dropped {
		m.handover.Drop(s)
	}
	m.install(m.timers.Now())
}

// Self returns the member that this host is now. It gets a new incarnation when
// it joins again after it was removed.
func (m *Manager) Self() Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.self
}

// View returns the view that this host acts under.
func (m *Manager) View() View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// Owner returns the owner of the shard in the view acted under.
func (m *Manager) Owner(s Shard) (Member, bool) {
	return m.owners.owner(m.View(), s)
}

// Serving reports whether this host may serve the shard now: it owns the shard,
// the predecessor has released it, and the lease is valid.
func (m *Manager) Serving(s Shard) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.serving[s]
	return ok && m.timers.Now().Before(m.lease.end())
}

// LeaseUntil returns the end of the lease, or the zero time when the host is cut
// off at now. An owner compares it right before each send.
func (m *Manager) LeaseUntil(now time.Time) time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	end := m.lease.end()
	if !now.Before(end) {
		return time.Time{}
	}
	return end
}
