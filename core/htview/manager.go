package htview

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornturn/core/httable"
	"hawthornturn/core/httime"
)

// Manager maintains the membership of one host and decides which shards it serves.
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

	// transition serialises changes of the active view and of the served shards. It
	// is held during calls to Handover; mu is not.
	transition sync.Mutex

	mu        sync.RWMutex
	self      Member
	rejoins   int
	joinedAt  uint64 // number of the view in which self joined; 0 if not a member
	view      View   // active view, by which this host decides ownership
	announced uint64 // active view number sent to other hosts; set to view.Number once moved shards are collected
	newest    View   // newest known view; newer than view while a hold is in force
	history   map[uint64]View
	// settled is the highest number of a settled view. A view is settled once the table
	// has shown that no host outside it may still serve under an older view. A settled
	// view stays settled.
	settled uint64

	tableRow           tableView
	lease              leaseState
	leases             map[string]observedLease // by host
	peerByID           map[string]*peer
	givenHoldUntil     time.Time  // end of the last hold that this host gave
	unresolvedRemovals []*removal // removals that are in progress or have an unknown result

	shards           map[Shard]struct{}
	serving          map[Shard]struct{}
	pending          map[Shard]struct{} // owned, but not served yet
	received         map[Shard]Release  // releases received for shards that are not served yet
	releasesInFlight sync.WaitGroup

	phase phase
}

// phase is the progress of a planned stop.
type phase int

const (
	running phase = iota
	leaving       // no lease writes, no joining
	stopped       // serves nothing and does not resume
)

// tableView is the view row as last read from the table.
type tableView struct {
	view    View
	version uint64
}

// New returns a Manager whose host is not a member yet. Serve makes it join.
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
		received:   map[Shard]Release{},
	}
	m.table = tableLink{table: table, now: timers.Now, onContact: m.recordTableContact}
	m.lease.duration = cfg.LeaseDuration
	for n := range KeyPartitions {
		m.shards[Shard{Partition: n}] = struct{}{}
	}
	return m
}

// Serve joins the view and maintains the membership until ctx ends.
func (m *Manager) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runEvery(ctx, "observe", m.cfg.LeaseRenewInterval, m.observeNow, m.observe) })
	group.Go(func() error { return m.runEvery(ctx, "renew", m.cfg.LeaseRenewInterval, m.renewNow, m.renew) })
	group.Go(func() error { return m.runEvery(ctx, "heartbeat", m.cfg.HeartbeatInterval, nil, m.sendHeartbeats) })
	group.Go(func() error { return m.runEvery(ctx, "install", installInterval, nil, m.applyNewestView) })
	group.Go(func() error { return m.runEvery(ctx, "host-list", hostListInterval, nil, m.readHostList) })
	return group.Wait()
}

// runEvery runs job immediately, at each tick and when trigger receives a
// value. Runs do not overlap. It returns when ctx ends.
func (m *Manager) runEvery(ctx context.Context, name string, period time.Duration, trigger <-chan struct{}, job func(context.Context)) error {
	ticks := m.timers.Subscribe("membership-"+name, period)
	defer ticks.Stop()
	for {
		job(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		case <-trigger:
		}
	}
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetShards sets the pool shards that exist. The key partitions always exist.
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
			delete(m.received, s)
			dropped = append(dropped, s)
		}
	}
	m.shards = wanted
	m.updatePendingLocked()
	m.mu.Unlock()
	for _, s := range dropped {
		m.handover.Drop(s)
	}
	m.install(m.timers.Now())
}

// Self returns this host's current member entry. Its incarnation changes when the
// host is removed from the view, before it rejoins.
func (m *Manager) Self() Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.self
}

// View returns the view by which calls are routed: the active view or, after a planned
// stop, the newest view without this host.
func (m *Manager) View() View {
	view, _ := m.routingView()
	return view
}

// routingView returns the view by which calls are routed, and whether it is the active
// view. After a planned stop, this host adopts no view any more and serves nothing; calls
// that are still in flight here, and the reports of their ends, then go to the owners in
// the newest view without this host.
func (m *Manager) routingView() (View, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.phase != stopped {
		return m.view, true
	}
	if !slices.Contains(m.newest.Members, m.self) {
		return m.newest, false
	}
	successors := m.newest.Without(m.self.Host)
	successors.Number = m.newest.Number // no such view has been committed
	return successors, false
}

// Owner returns the owner of the shard in the view by which calls are routed.
func (m *Manager) Owner(s Shard) (Member, bool) {
	view, active := m.routingView()
	if !active {
		return view.Owner(s) // not cached: its number may be that of a view with other members
	}
	return m.owners.owner(view, s)
}

// Serving reports whether this host may serve the shard now: it owns the shard, no
// other host may still serve it, and the lease is valid.
func (m *Manager) Serving(s Shard) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.serving[s]
	return ok && m.timers.Now().Before(m.lease.end())
}

// LeaseUntil returns the end of the lease, or the zero time if the lease is not valid
// at now. An owner checks it immediately before each send.
func (m *Manager) LeaseUntil(now time.Time) time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	end := m.lease.end()
	if !now.Before(end) {
		return time.Time{}
	}
	return end
}
