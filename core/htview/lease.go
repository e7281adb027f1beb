package htview

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/httable"
)

// leaseState is the state of this host's own lease.
type leaseState struct {
	sequence       uint64
	version        uint64    // version of the lease row as last read or written
	view           uint64    // view number in the last written row
	lastWrite      time.Time // time just before the last successful write was sent
	lastContact    time.Time // send time of the last request that reached the table, directly or through a peer
	lastTableReply time.Time // time of the last reply from the table to this host
	extendedUntil  time.Time // end of the extension by holds received from peers; zero if there was none
	duration       time.Duration
}

// endWithoutHolds returns the end of the lease without the extension by holds. It is
// the zero time if the lease was never written.
func (l leaseState) endWithoutHolds() time.Time {
	if l.lastWrite.IsZero() {
		return time.Time{}
	}
	return earlier(l.lastWrite.Add(l.duration), l.lastContact.Add(contactTimeout))
}

// end returns the end of the lease, or the zero time if there was no lease.
func (l leaseState) end() time.Time {
	return later(l.endWithoutHolds(), l.extendedUntil)
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

// renew writes the lease row, directly or through a peer. A host that has not reached
// the table recently asks a peer first, so that request timeouts do not use up its
// lease.
func (m *Manager) renew(ctx context.Context) {
	if !m.tableReachable(m.timers.Now()) && m.renewThroughPeer(ctx) {
		return
	}
	for range maxChangeAttempts {
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

// renewDirectly writes the lease row once. It returns true if the write should be
// repeated because the row had another version, which is known by then. If the reply
// is lost, it first tries to renew through a peer: a peer that reaches the table gives
// a result sooner than reading the row back, which may time out as well.
func (m *Manager) renewDirectly(ctx context.Context) (bool, error) {
	sent := m.timers.Now()
	txn, lease, ok := m.leaseTxn()
	if !ok {
		return false, nil
	}
	version, err := m.table.Commit(ctx, txn)
	if err == nil {
		m.recordRenewal(lease, version, sent)
		return false, nil
	}
	if errors.Is(err, httable.ErrResultUnknown) {
		return m.resolveRenewal(ctx, txn, lease, sent)
	}
	if !errors.Is(err, httable.ErrConflict) {
		return false, err
	}
	return m.refreshLease(ctx)
}

// resolveRenewal handles a lease write whose reply was lost: it renews through a peer
// or reads the row back. Its results have the same meaning as those of renewDirectly.
func (m *Manager) resolveRenewal(ctx context.Context, txn httable.Txn, lease Lease, sent time.Time) (bool, error) {
	if m.renewThroughPeer(ctx) {
		return false, nil
	}
	snapshot, err := m.table.Read(ctx, leasePrefix+lease.Host)
	if err != nil {
		return false, err
	}
	row, _, err := findLeaseRow(snapshot, lease.Host)
	if err == nil && row.Writer == txn.ID {
		m.recordRenewal(lease, row.Version, sent)
		return false, nil
	}
	return m.refreshLease(ctx)
}

// refreshLease reads this host's lease row and returns true if the lease write should
// be repeated.
func (m *Manager) refreshLease(ctx context.Context) (bool, error) {
	err := m.readOwnLease(ctx)
	if errors.Is(err, ErrNotMember) {
		return false, nil
	}
	return err == nil, err
}

// tableReachable reports whether this host has had a reply from the table within
// tableContactTimeout. If not, it gives holds.
func (m *Manager) tableReachable(now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tableReachableLocked(now)
}

func (m *Manager) tableReachableLocked(now time.Time) bool {
	return !m.lease.lastTableReply.IsZero() && now.Sub(m.lease.lastTableReply) <= m.cfg.tableContactTimeout()
}

// recordTableContact records a reply from the table with the send time of its
// request.
func (m *Manager) recordTableContact(sent, answered time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.lastContact = later(m.lease.lastContact, sent)
	m.lease.lastTableReply = later(m.lease.lastTableReply, answered)
}

// leaseTxn returns the transaction and the value of the next lease write. It returns
// false if the host is not a member or is stopping, because it then writes no lease.
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
		Writes:     []httable.Write{{Key: key, Value: mustEncode(lease)}},
	}, lease, true
}

func (m *Manager) leaseLocked() Lease {
	return Lease{Host: m.self.Host, Incarnation: m.self.Incarnation, Sequence: m.lease.sequence, View: m.announced}
}

// recordRenewal records a successful lease write that was sent at the given time. A
// version of 0 means that the version is not known.
func (m *Manager) recordRenewal(l Lease, version uint64, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.Incarnation != m.self.Incarnation || m.joinedAt == 0 {
		return
	}
	m.lease.version = max(m.lease.version, version)
	m.lease.view = max(m.lease.view, l.View)
	m.lease.lastWrite = later(m.lease.lastWrite, sent)
	m.lease.lastContact = later(m.lease.lastContact, sent)
}

// renewThroughPeer asks members that have reached the table recently to write the lease
// row, starting with the one that reached it last. It reports whether one succeeded.
func (m *Manager) renewThroughPeer(ctx context.Context) bool {
	for _, to := range m.peersReachingTable(m.timers.Now()) {
		sent := m.timers.Now()
		_, lease, ok := m.leaseTxn()
		if !ok {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		err := m.peers.Renew(callCtx, to, lease)
		cancel()
		if err == nil {
			m.recordRenewal(lease, 0, sent)
			return true
		}
	}
	return false
}

// HandleRenew writes the lease row on behalf of a host that cannot reach the table.
// The row must exist and belong to the same incarnation, because a removed host must
// not get a lease; otherwise it returns ErrNotMember. It returns ErrStaleRenewal if
// the row is newer than l.
func (m *Manager) HandleRenew(ctx context.Context, l Lease) error {
	key := leasePrefix + l.Host
	snapshot, err := m.table.Read(ctx, key)
	if err != nil {
		return fmt.Errorf("renew lease of %s: %w", l.Host, err)
	}
	row, old, err := findLeaseRow(snapshot, l.Host)
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
		Writes:     []httable.Write{{Key: key, Value: mustEncode(l)}},
	})
	return err
}

// readOwnLease updates the lease state from this host's lease row after a conflict.
// Either a peer or a delayed request has written the row, or this host was removed;
// then it resets the membership and returns ErrNotMember.
func (m *Manager) readOwnLease(ctx context.Context) error {
	self := m.Self()
	snapshot, err := m.table.Read(ctx, leasePrefix+self.Host)
	if err != nil {
		return err
	}
	row, lease, err := findLeaseRow(snapshot, self.Host)
	if err == nil && lease.Incarnation != self.Incarnation {
		err = ErrNotMember
	}
	if errors.Is(err, ErrNotMember) {
		m.handleRemoval(self)
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
