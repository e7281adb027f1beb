package htview

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/httable"
)

// leaseState is the host's own lease.
type leaseState struct {
	sequence uint64
	version  uint64    // version of the lease row as last seen
	view     uint64    // view named in the row as last written
	written  time.Time // the moment before the last successful write was sent
	contact  time.Time // sending time of the last request that reached the table, also through a peer
	reached  time.Time // time of the last answer of the table to this host
	held     time.Time // end of the extension by holds
	duration time.Duration
}

// tableEnd is the end of the lease without holds.
func (l leaseState) tableEnd() time.Time {
	if l.written.IsZero() {
		return time.Time{}
	}
	return earlier(l.written.Add(l.duration), l.contact.Add(contactLimit))
}

// end is the end of the lease. It is the zero time when there was none.
func (l leaseState) end() time.Time {
	return later(l.tableEnd(), l.held)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// renew writes the lease row, directly or through a peer. A host that did not
// reach the table lately asks a peer first, so that timeouts do not use up its lease.
func (m *Manager) renew(ctx context.Context) {
	if !m.atTable(m.timers.Now()) && m.renewThroughPeer(ctx) {
		return
	}
	for range changeTries {
		again, err := m.renewDirectly(ctx)
		if err == nil && !again {
			return
		}
		if err != nil {
			m.renewThroughPeer(ctx)
			return
		}
	}
}

// renewDirectly writes the lease row once. It reports true when the row had another
// version than expected, which is then known. When the answer is lost, a peer that
// reaches the table gives a result sooner than reading the row back, which may run
// into the same silence.
func (m *Manager) renewDirectly(ctx context.Context) (bool, error) {
	sent := m.timers.Now()
	txn, lease, ok := m.leaseTxn()
	if !ok {
		return false, nil
	}
	version, err := m.table.Commit(ctx, txn)
	if err == nil {
		m.renewed(lease, version, sent)
		return false, nil
	}
	if errors.Is(err, httable.ErrResultUnknown) {
		return m.readBack(ctx, txn, lease, sent)
	}
	if !errors.Is(err, httable.ErrConflict) {
		return false, err
	}
	return m.reread(ctx)
}

func (m *Manager) readBack(ctx context.Context, txn httable.Txn, lease Lease, sent time.Time) (bool, error) {
	if m.renewThroughPeer(ctx) {
		return false, nil
	}
	snapshot, err := m.table.Read(ctx, leasePrefix+lease.Host)
	if err != nil {
		return false, err
	}
	row, _, err := leaseRow(snapshot, lease.Host)
	if err == nil && row.Writer == txn.ID {
		m.renewed(lease, row.Version, sent)
		return false, nil
	}
	return m.reread(ctx)
}

func (m *Manager) reread(ctx context.Context) (bool, error) {
	err := m.readLease(ctx)
	if errors.Is(err, ErrNotMember) {
		return false, nil
	}
	return err == nil, err
}

// atTable reports whether this host has reached the table within a little more
// than one renewal period. If not, it gives holds.
func (m *Manager) atTable(now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.atTableLocked(now)
}

func (m *Manager) atTableLocked(now time.Time) bool {
	return !m.lease.reached.IsZero() && now.Sub(m.lease.reached) <= m.cfg.holdAfter()
}

// reached notes an answer of the table.
func (m *Manager) reached(sent, answered time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.contact = later(m.lease.contact, sent)
	m.lease.reached = later(m.lease.reached, answered)
}

// leaseTxn returns the next lease write. It reports false when the host is no
// member and so has no lease to write.
func (m *Manager) leaseTxn() (httable.Txn, Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.joinedAt == 0 || m.phase != running {
		return httable.Txn{}, Lease{}, false
	}
	m.lease.sequence++
	lease := m.leaseLocked()
	key := leasePrefix + m.self.Host
	return httable.Txn{
		ID:         uuid.NewString(),
		Conditions: []httable.Condition{{Key: key, Version: m.lease.version}},
		Writes:     []httable.Write{{Key: key, Value: encode(lease)}},
	}, lease, true
}

func (m *Manager) leaseLocked() Lease {
	return Lease{Host: m.self.Host, Incarnation: m.self.Incarnation, Sequence: m.lease.sequence, View: m.acted}
}

// renewed notes a successful lease write that was sent at the given time.
func (m *Manager) renewed(l Lease, version uint64, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.Incarnation != m.self.Incarnation || m.joinedAt == 0 {
		return
	}
	m.lease.version = max(m.lease.version, version)
	m.lease.view = max(m.lease.view, l.View)
	m.lease.written = later(m.lease.written, sent)
	m.lease.contact = later(m.lease.contact, sent)
}

// renewThroughPeer asks members that have reached the table lately to write the
// lease row, the most recent one first.
func (m *Manager) renewThroughPeer(ctx context.Context) bool {
	for _, to := range m.peersAtTable(m.timers.Now()) {
		sent := m.timers.Now()
		_, lease, ok := m.leaseTxn()
		if !ok {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := m.peers.Renew(callCtx, to, lease)
		cancel()
		if err == nil {
			m.renewed(lease, 0, sent)
			return true
		}
	}
	return false
}

// HandleRenew writes the lease row of a host that does not reach the table. The
// row must still belong to the same incarnation: a removed host gets no lease.
func (m *Manager) HandleRenew(ctx context.Context, l Lease) error {
	key := leasePrefix + l.Host
	snapshot, err := m.table.Read(ctx, key)
	if err != nil {
		return fmt.Errorf("renew lease of %s: %w", l.Host, err)
	}
	row, old, err := leaseRow(snapshot, l.Host)
	if err != nil {
		return fmt.Errorf("renew lease of %s: %w", l.Host, err)
	}
	if old.Incarnation != l.Incarnation {
		return fmt.Errorf("renew lease of %s: %w", l.Host, ErrNotMember)
	}
	if old.Sequence >= l.Sequence || old.View > l.View {
		return fmt.Errorf("renew lease of %s: %w", l.Host, ErrStaleRenewal)
	}
	_, err = httable.CommitWithReadBack(ctx, m.table, httable.Txn{
		ID:         uuid.NewString(),
		Conditions: []httable.Condition{{Key: key, Version: row.Version}},
		Writes:     []httable.Write{{Key: key, Value: encode(l)}},
	})
	return err
}

// readLease reads the own lease row after a conflict: a peer or a delayed request
// has written it, or the host was removed.
func (m *Manager) readLease(ctx context.Context) error {
	self := m.Self()
	snapshot, err := m.table.Read(ctx, leasePrefix+self.Host)
	if err != nil {
		return err
	}
	row, lease, err := leaseRow(snapshot, self.Host)
	if err == nil && lease.Incarnation != self.Incarnation {
		err = ErrNotMember
	}
	if errors.Is(err, ErrNotMember) {
		m.removed(self)
		return err
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if self != m.self {
		return ErrNotMember
	}
	m.lease.version = max(m.lease.version, row.Version)
	m.lease.sequence = max(m.lease.sequence, lease.Sequence)
	return nil
}
