package htview

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/httable"
)

// leaveViewTimeout bounds how long a planned stop tries to remove this host from the
// view. The lease is not renewed meanwhile, and calls are served until it ends.
const leaveViewTimeout = 2500 * time.Millisecond

// Leave performs a planned stop. It removes this host from the view, sends its shards
// to their new owners until all have them or ctx ends, and then deletes its lease row.
// If the view cannot be changed, for example because the table service is down, each
// shard is sent to the member that will own it without this host, which uses the state
// once the view has changed. In both cases this host sends all members a heartbeat that
// reports its stop; see announceStop.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	if m.phase != running {
		m.mu.Unlock()
		return nil
	}
	m.phase = leaving
	member := m.joinedAt != 0
	m.mu.Unlock()
	if !member {
		m.stopServing(View{})
		return nil
	}
	left, leaveErr := m.leaveView(ctx)
	m.stopServing(left)
	m.announceStop(ctx)
	if err := m.waitReleases(ctx); err != nil {
		return errors.Join(leaveErr, err)
	}
	if leaveErr == nil {
		return m.deleteLease(ctx)
	}
	return fmt.Errorf("stopped without leaving the view: %w", leaveErr)
}

// leaveView removes this host from the view row and returns the new view. It returns
// the empty view if this host was not in the view any more.
func (m *Manager) leaveView(ctx context.Context) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, leaveViewTimeout)
	defer cancel()
	err := ctx.Err()
	for ctx.Err() == nil {
		var left View
		if left, err = m.tryLeaveView(ctx); err == nil {
			return left, nil
		}
		if !errors.Is(err, httable.ErrConflict) {
			sleep(ctx, releaseRetryDelay)
		}
	}
	return View{}, err
}

func (m *Manager) tryLeaveView(ctx context.Context) (View, error) {
	snapshot, err := m.table.Read(ctx, viewKey)
	if err != nil {
		return View{}, err
	}
	row, err := findViewRow(snapshot)
	if err != nil {
		return View{}, err
	}
	m.recordView(row.view)
	self := m.Self()
	if !slices.Contains(row.view.Members, self) {
		return View{}, nil
	}
	next := row.view.Without(self.Host)
	_, err = httable.CommitWithReadBack(ctx, m.table, httable.Txn{
		ID:         uuid.NewString(),
		Conditions: []httable.Condition{{Key: viewKey, Version: row.version}},
		Writes:     []httable.Write{{Key: viewKey, Value: mustEncode(next)}},
	})
	if err != nil {
		return View{}, err
	}
	m.recordView(next)
	return next, nil
}

func (m *Manager) recordView(v View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLocked(v)
}

// stopServing ends serving permanently and sends the state of each shard to the host
// that owns it once this host has left: the owner in left or, if this host is still a
// member, the owner in the newest view without this host. If other hosts have removed
// this host, it sends no state, because the new owners have started without it.
func (m *Manager) stopServing(left View) {
	m.transition.Lock()
	defer m.transition.Unlock()
	m.mu.Lock()
	self, view := m.self, left
	stillMember := left.Number == 0 && slices.Contains(m.newest.Members, self)
	if stillMember {
		view = m.newest
	}
	served := m.serving
	m.serving = map[Shard]struct{}{}
	m.pending = map[Shard]struct{}{}
	m.lease = leaseState{duration: m.lease.duration, version: m.lease.version, lastTableReply: m.lease.lastTableReply}
	m.mu.Unlock()
	var collected []Release
	for s := range served {
		collected = append(collected, Release{From: self, Shard: s, View: view, SenderStopped: stillMember, State: m.handover.Collect(s)})
	}
	m.mu.Lock()
	m.phase = stopped
	m.announced = max(m.announced, m.newest.Number)
	m.mu.Unlock()
	if view.Number == 0 {
		return
	}
	for _, r := range collected {
		m.sendReleaseWithRetry(r)
	}
}

// hasStoppedLocked reports whether this host has stopped and will change no view any
// more. It is false while a removal with an unknown result may still take effect.
func (m *Manager) hasStoppedLocked() bool {
	return m.phase == stopped && len(m.unresolvedRemovals) == 0
}

// announceStop sends a heartbeat to all members, which reports that this host has
// stopped if hasStoppedLocked is true.
func (m *Manager) announceStop(ctx context.Context) {
	now := m.timers.Now()
	g := m.gossip.Outgoing(now)
	m.mu.RLock()
	hb := m.heartbeatLocked(now, g)
	members := m.newest.Members
	self := m.self
	m.mu.RUnlock()
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, to := range members {
		if to == self {
			continue
		}
		sent.Go(func() {
			_, _ = m.peers.Heartbeat(ctx, to, hb) // a member that does not receive it waits for the lease to expire
		})
	}
	sent.Wait()
}

func (m *Manager) waitReleases(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		m.releasesInFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("hand over shards: %w", ctx.Err())
	}
}

// deleteLease deletes this host's lease row. The missing row shows the other hosts
// that this host has released all shards.
func (m *Manager) deleteLease(ctx context.Context) error {
	self := m.Self()
	snapshot, err := m.table.Read(ctx, leasePrefix+self.Host)
	if err != nil {
		return fmt.Errorf("delete lease: %w", err)
	}
	row, lease, err := findLeaseRow(snapshot, self.Host)
	if err != nil || lease.Incarnation != self.Incarnation {
		return nil
	}
	_, err = m.table.Commit(ctx, httable.Txn{
		ID:         uuid.NewString(),
		Conditions: []httable.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []httable.Write{{Key: row.Key}},
	})
	if err != nil && !errors.Is(err, httable.ErrConflict) {
		return fmt.Errorf("delete lease: %w", err)
	}
	return nil
}
