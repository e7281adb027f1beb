package htview

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"hawthornturn/core/httable"
)

// observedLease is a lease row as last read by this host.
type observedLease struct {
	lease     Lease
	version   uint64    // 0 if the row does not exist
	firstSeen time.Time // when this host first read this version
}

// removal is a transaction that removes members from the view.
type removal struct {
	viewVersion   uint64            // required version of the view row
	leaseVersions map[string]uint64 // required versions of the lease rows, by host
}

// observe reads the view and the lease rows, joins the view if this host is not a
// member, and removes members whose lease has expired. It retries if another host
// changed the rows or the result of the change is unknown.
func (m *Manager) observe(ctx context.Context) {
	for range maxChangeAttempts {
		if m.currentPhase() != running {
			return
		}
		if err := m.readRows(ctx); err != nil {
			return
		}
		err := m.changeView(ctx)
		if !errors.Is(err, httable.ErrConflict) && !errors.Is(err, httable.ErrResultUnknown) {
			return
		}
	}
}

func (m *Manager) currentPhase() phase {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.phase
}

// readRows reads the view, then the leases. This order ensures that a host found in
// neither has stopped serving under views older than the one read.
func (m *Manager) readRows(ctx context.Context) error {
	snapshot, err := m.table.Read(ctx, viewKey)
	if err != nil {
		return err
	}
	row, err := findViewRow(snapshot)
	if err != nil {
		logrus.WithError(err).WithField("event", "view-unreadable").Error("cannot decode the view row")
		return err
	}
	leases, err := m.table.Scan(ctx, leasePrefix)
	if err != nil {
		return err
	}
	m.recordRows(row, leases.Rows, m.timers.Now())
	m.learnView(row.view)
	return nil
}

// recordRows records the view row and the lease rows as read at now, unless a newer
// view row is known. It marks the view as settled unless a lease row cannot be decoded,
// or names an older view and belongs to an incarnation that is not a member.
func (m *Manager) recordRows(tableRow tableView, rows []httable.Row, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if tableRow.version < m.tableRow.version {
		return
	}
	m.tableRow = tableRow
	settled := true
	present := map[string]bool{}
	for _, r := range rows {
		l, err := decodeLease(r)
		if err != nil {
			settled = false
			continue
		}
		host := strings.TrimPrefix(r.Key, leasePrefix)
		present[host] = true
		m.recordLeaseLocked(host, l, r.Version, now)
		m.peerLocked(Member{Host: l.Host, Incarnation: l.Incarnation}).recordActiveView(now, l.View)
		if member, ok := tableRow.view.Find(l.Host); (!ok || member.Incarnation != l.Incarnation) && l.View < tableRow.view.Number {
			settled = false
		}
	}
	for _, member := range tableRow.view.Members {
		if !present[member.Host] {
			m.recordLeaseLocked(member.Host, Lease{}, 0, now)
		}
	}
	for host := range m.leases {
		if _, member := tableRow.view.Find(host); !present[host] && !member {
			delete(m.leases, host)
		}
	}
	if settled {
		m.settled = max(m.settled, tableRow.view.Number)
	}
	m.unresolvedRemovals = slices.DeleteFunc(m.unresolvedRemovals, func(r *removal) bool { return r.resolved(tableRow, m.leases) })
}

func (m *Manager) recordLeaseLocked(host string, l Lease, version uint64, now time.Time) {
	if old, ok := m.leases[host]; ok && old.version == version {
		return
	}
	m.leases[host] = observedLease{lease: l, version: version, firstSeen: now}
}

// resolved reports whether the rows show that the removal was applied or can no
// longer be applied, because a row that it depends on has another version.
func (r removal) resolved(row tableView, leases map[string]observedLease) bool {
	if row.version != r.viewVersion {
		return true
	}
	for host, version := range r.leaseVersions {
		if leases[host].version != version {
			return true
		}
	}
	return false
}

// changeView joins the view if this host is not a member. Otherwise it removes the
// members that this host may remove, then deletes stale lease rows.
func (m *Manager) changeView(ctx context.Context) error {
	m.mu.RLock()
	joined := m.joinedAt != 0
	m.mu.RUnlock()
	if !joined {
		return m.join(ctx)
	}
	if err := m.removeExpired(ctx); err != nil {
		return err
	}
	return m.deleteStaleLeases(ctx)
}

// join adds this host to the view and replaces an earlier incarnation whose lease
// has expired.
func (m *Manager) join(ctx context.Context) error {
	now := m.timers.Now()
	m.mu.Lock()
	self, tableRow, old := m.self, m.tableRow, m.leases[m.self.Host]
	if slices.Contains(tableRow.view.Members, self) {
		m.recordJoinLocked(tableRow.view, old.version, time.Time{}) // an earlier attempt with an unknown result was applied
		m.mu.Unlock()
		m.applyNewestView(ctx)
		return nil
	}
	canJoin := m.canReplaceLocked(now, old)
	m.mu.Unlock()
	if !canJoin {
		return nil
	}
	next := tableRow.view.With(self)
	lease := Lease{Host: self.Host, Incarnation: self.Incarnation, Sequence: 1, View: next.Number}
	txn := httable.Txn{
		ID: uuid.NewString(),
		Conditions: []httable.Condition{
			{Key: viewKey, Version: tableRow.version},
			{Key: leasePrefix + self.Host, Version: old.version},
		},
		Writes: []httable.Write{
			{Key: viewKey, Value: mustEncode(next)},
			{Key: leasePrefix + self.Host, Value: mustEncode(lease)},
		},
	}
	sent := m.timers.Now()
	version, err := httable.CommitWithReadBack(ctx, m.table, txn)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.tableRow = tableView{view: next, version: version}
	m.recordJoinLocked(next, version, sent)
	m.recordSettledLocked(next)
	m.mu.Unlock()
	m.applyNewestView(ctx)
	logrus.WithFields(logrus.Fields{"event": "joined", "view": next.Number, "incarnation": self.Incarnation}).Info("joined the view")
	return nil
}

func (m *Manager) recordJoinLocked(v View, leaseVersion uint64, sent time.Time) {
	m.joinedAt = v.Number
	m.lease.sequence = 1
	m.lease.version = leaseVersion
	m.lease.view = v.Number
	m.lease.lastWrite = sent
	m.recordLocked(v)
	notify(m.renewNow)
}

// canReplaceLocked reports whether this host may replace its earlier incarnation,
// which wrote the lease row old. The row must have stayed unchanged for the takeover
// delay. If the earlier incarnation is still a member, its process must also have
// ended, because a member may have extended its lease by holds.
func (m *Manager) canReplaceLocked(now time.Time, old observedLease) bool {
	member, ok := m.tableRow.view.Find(m.self.Host)
	if old.version == 0 && !ok {
		return true
	}
	if now.Sub(old.firstSeen) < m.cfg.TakeoverDelay {
		return false
	}
	return !ok || member.Address == m.self.Address || !m.peerLocked(member).endedSince().IsZero()
}

// removeExpired removes the members whose lease has expired. The transaction also
// deletes their lease rows, so that a delayed write cannot renew their leases.
func (m *Manager) removeExpired(ctx context.Context) error {
	now := m.timers.Now()
	m.mu.Lock()
	next, change, tableRow := m.planRemovalLocked(now)
	if change == nil {
		m.mu.Unlock()
		return nil
	}
	m.unresolvedRemovals = append(m.unresolvedRemovals, change)
	m.mu.Unlock()
	txn := httable.Txn{
		ID:         uuid.NewString(),
		Conditions: []httable.Condition{{Key: viewKey, Version: tableRow.version}},
		Writes:     []httable.Write{{Key: viewKey, Value: mustEncode(next)}},
	}
	for host, version := range change.leaseVersions {
		txn.Conditions = append(txn.Conditions, httable.Condition{Key: leasePrefix + host, Version: version})
		txn.Writes = append(txn.Writes, httable.Write{Key: leasePrefix + host})
	}
	version, err := httable.CommitWithReadBack(ctx, m.table, txn)
	m.mu.Lock()
	if !errors.Is(err, httable.ErrResultUnknown) {
		m.unresolvedRemovals = slices.DeleteFunc(m.unresolvedRemovals, func(r *removal) bool { return r == change })
	}
	if err == nil {
		m.tableRow = tableView{view: next, version: version}
		m.recordSettledLocked(next)
	}
	m.mu.Unlock()
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"event": "members-removed", "view": next.Number, "members": len(next.Members)}).Info("removed members with expired leases")
	m.learnView(next)
	return nil
}

// planRemovalLocked returns the view without the members that this host may remove,
// and the versions of the rows that the removal depends on. The removal is nil if
// there is nothing to remove.
//
// No member may be removed while a hold given by this host is in force. A member may
// be removed if its lease row has not changed for the takeover delay and it could
// not have extended its lease without a hold from this host: the view named in its
// lease row must contain this host, or its process must have ended. An earlier
// removal with an unknown result does not prevent a new one, because both depend on
// the same version of the view row.
func (m *Manager) planRemovalLocked(now time.Time) (View, *removal, tableView) {
	tableRow := m.tableRow
	if now.Before(m.givenHoldUntil) || m.phase != running || !now.Before(m.lease.end()) || tableRow.view.Number != m.view.Number {
		return View{}, nil, tableRow
	}
	change := &removal{viewVersion: tableRow.version, leaseVersions: map[string]uint64{}}
	next := tableRow.view
	for _, member := range tableRow.view.Members {
		seen := m.leases[member.Host]
		if member == m.self || now.Sub(seen.firstSeen) < m.cfg.TakeoverDelay {
			continue
		}
		if seen.lease.View < m.joinedAt && !m.hasEndedLocked(now, member, seen) {
			continue
		}
		next = next.Without(member.Host)
		change.leaseVersions[member.Host] = seen.version
	}
	if len(change.leaseVersions) == 0 {
		return View{}, nil, tableRow
	}
	next.Number = tableRow.view.Number + 1
	return next, change, tableRow
}

// hasEndedLocked reports whether the member's process has ended. The absence of a
// member from the host list counts only if, for UnlistedTimeout, the member was
// absent, sent nothing to this host and did not change its lease row. Without the
// host list, no host could remove members that were all replaced at the same time.
func (m *Manager) hasEndedLocked(now time.Time, member Member, seen observedLease) bool {
	p := m.peerLocked(member)
	if !p.endedSince().IsZero() {
		return true
	}
	limit := m.cfg.UnlistedTimeout
	return !p.unlistedSince.IsZero() && now.Sub(p.unlistedSince) >= limit && now.Sub(p.lastHeard) >= limit && now.Sub(seen.firstSeen) >= limit
}

// recordSettledLocked marks next as settled if the view before it was settled. The
// change that led to next only added this host or removed members whose lease had
// expired, so no host outside next may still serve under an older view.
func (m *Manager) recordSettledLocked(next View) {
	if m.settled == next.Number-1 {
		m.settled = next.Number
	}
}

// deleteStaleLeases deletes the lease rows of hosts that stopped before they had
// released all shards. A row is deleted once its host is no longer a member under
// that incarnation and the row has not changed for the takeover delay.
func (m *Manager) deleteStaleLeases(ctx context.Context) error {
	now := m.timers.Now()
	m.mu.Lock()
	tableRow := m.tableRow
	txn := httable.Txn{ID: uuid.NewString()}
	for host, seen := range m.leases {
		member, ok := tableRow.view.Find(host)
		if (ok && member.Incarnation == seen.lease.Incarnation) || seen.version == 0 || now.Sub(seen.firstSeen) < m.cfg.TakeoverDelay {
			continue
		}
		txn.Conditions = append(txn.Conditions, httable.Condition{Key: leasePrefix + host, Version: seen.version})
		txn.Writes = append(txn.Writes, httable.Write{Key: leasePrefix + host})
	}
	m.mu.Unlock()
	if len(txn.Writes) == 0 {
		return nil
	}
	_, err := m.table.Commit(ctx, txn)
	return err
}

// handleRemoval resets this host after its removal from the view: it drops all
// served shards and discards its lease. The host then rejoins under a new
// incarnation, so that other hosts can tell the new member from the old one.
func (m *Manager) handleRemoval(self Member) {
	m.transition.Lock()
	defer m.transition.Unlock()
	m.mu.Lock()
	if m.self != self || m.joinedAt == 0 || m.phase != running {
		m.mu.Unlock()
		return
	}
	m.rejoins++
	m.self.Incarnation = rejoinIncarnation(m.cfg.Self.Incarnation, m.rejoins)
	m.joinedAt = 0
	m.view = View{}
	m.lease = leaseState{duration: m.lease.duration, lastContact: m.lease.lastContact, lastTableReply: m.lease.lastTableReply}
	dropped := m.serving
	m.serving = map[Shard]struct{}{}
	m.pending = map[Shard]struct{}{}
	m.received = map[Shard]Release{}
	m.mu.Unlock()
	for s := range dropped {
		m.handover.Drop(s)
	}
	logrus.WithFields(logrus.Fields{"event": "removed", "incarnation": self.Incarnation, "dropped": len(dropped)}).Warn("removed from the view; rejoining")
	notify(m.observeNow)
}
