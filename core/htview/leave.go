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

// leaveLimit is how long a planned stop tries to change the view. The lease is not
// renewed meanwhile, and calls are served until its end.
const leaveLimit = 2500 * time.Millisecond

// Leave is a planned stop: it removes this host from the view and hands its shards
// to their new owners, until all have them or ctx ends. When the table service is
// down, it tells all members that this host has stopped and sends them the state
// of the shards, which they use once the view has changed.
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
		m.quit(View{})
		return nil
	}
	left, leaveErr := m.leaveView(ctx)
	m.quit(left)
	m.announce(ctx)
	if err := m.waitReleases(ctx); err != nil {
		return errors.Join(leaveErr, err)
	}
	if leaveErr == nil {
		return m.deleteLease(ctx)
	}
	return fmt.Errorf("stopped without leaving the view: %w", leaveErr)
}

// leaveView removes this host from the view row and returns the view it made. That
// is the empty view if the host was not in the view any more.
func (m *Manager) leaveView(ctx context.Context) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	err := ctx.Err()
	for ctx.Err() == nil {
		var left View
		if left, err = m.tryLeave(ctx); err == nil {
			return left, nil
		}
		if !errors.Is(err, httable.ErrConflict) {
			sleep(ctx, releaseRetry)
		}
	}
	return View{}, err
}

func (m *Manager) tryLeave(ctx context.Context) (View, error) {
	snapshot, err := m.table.Read(ctx, viewKey)
	if err != nil {
		return View{}, err
	}
	row, err := viewRow(snapshot)
	if err != nil {
		return View{}, err
	}
	m.note(row.view)
	self := m.Self()
	if !slices.Contains(row.view.Members, self) {
		return View{}, nil
	}
	next := row.view.Without(self.Host)
	_, err = httable.CommitWithReadBack(ctx, m.table, httable.Txn{
		ID:         uuid.NewString(),
		Conditions: []httable.Condition{{Key: viewKey, Version: row.version}},
		Writes:     []httable.Write{{Key: viewKey, Value: encode(next)}},
	})
	if err != nil {
		return View{}, err
	}
	m.note(next)
	return next, nil
}

func (m *Manager) note(v View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLocked(v)
}

// quit stops serving for good and sends the state of all shards to the hosts that
// own them without this one: in the view that it made by leaving or, while it is
// still a member, in the next one. The state of a host that others have removed is
// worthless, because its successors have started without it.
func (m *Manager) quit(left View) {
	m.transition.Lock()
	defer m.transition.Unlock()
	m.mu.Lock()
	self, view := m.self, left
	final := left.Number == 0 && slices.Contains(m.newest.Members, self)
	if final {
		view = m.newest
	}
	served := m.serving
	m.serving = map[Shard]struct{}{}
	m.pending = map[Shard]struct{}{}
	m.lease = leaseState{duration: m.lease.duration, version: m.lease.version, reached: m.lease.reached}
	m.mu.Unlock()
	var collected []Release
	for s := range served {
		collected = append(collected, Release{From: self, Shard: s, View: view, SenderStopped: final, State: m.handover.Collect(s)})
	}
	m.mu.Lock()
	m.phase = stopped
	m.acted = max(m.acted, m.newest.Number)
	m.mu.Unlock()
	if view.Number == 0 {
		return
	}
	for _, r := range collected {
		m.release(r)
	}
}

// endedLocked reports whether this host has stopped for good. A removal with an
// unknown result may still take effect, so the host does not say so before.
func (m *Manager) endedLocked() bool {
	return m.phase == stopped && len(m.inDoubt) == 0
}

// announce tells all members that this host has stopped.
func (m *Manager) announce(ctx context.Context) {
	now := m.timers.Now()
	g := m.gossip.Outgoing(now)
	m.mu.RLock()
	hb := m.heartbeatLocked(now, g)
	members := m.newest.Members
	self := m.self
	m.mu.RUnlock()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, to := range members {
		if to == self {
			continue
		}
		sent.Go(func() {
			_, _ = m.peers.Heartbeat(ctx, to, hb) // a member that does not hear it waits for the lease to lapse
		})
	}
	sent.Wait()
}

func (m *Manager) waitReleases(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		m.releases.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("hand shards over: %w", ctx.Err())
	}
}

// deleteLease deletes the own lease row: it tells the others that this host has
// released everything.
func (m *Manager) deleteLease(ctx context.Context) error {
	self := m.Self()
	snapshot, err := m.table.Read(ctx, leasePrefix+self.Host)
	if err != nil {
		return fmt.Errorf("delete lease: %w", err)
	}
	row, lease, err := leaseRow(snapshot, self.Host)
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
