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

// observedLease is a lease row as this host has seen it.
type observedLease struct {
	lease   Lease
	version uint64    // 0 if the row does not exist
	since   time.Time // when this version was first seen
}

// removal is a view change that removes members.
type removal struct {
	view  uint64            // version of the view row it depends on
	lease map[string]uint64 // versions of the lease rows it depends on, by host
}

// observe reads the view and the lease rows, joins the view and removes members
// whose lease has lapsed.
func (m *Manager) observe(ctx context.Context) {
	for range changeTries {
		if m.currentPhase() != running {
			return
		}
		if err := m.readRows(ctx); err != nil {
			return
		}
		err := m.change(ctx)
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

// readRows reads the view, then the leases. In this order, a host that is in
// neither has stopped serving under views older than the one read.
func (m *Manager) readRows(ctx context.Context) error {
	snapshot, err := m.table.Read(ctx, viewKey)
	if err != nil {
		return err
	}
	row, err := viewRow(snapshot)
	if err != nil {
		logrus.WithError(err).WithField("event", "view-unreadable").Error("view row not understood")
		return err
	}
	leases, err := m.table.Scan(ctx, leasePrefix)
	if err != nil {
		return err
	}
	m.noteRows(row, leases.Rows, m.timers.Now())
	m.learn(row.view)
	return nil
}

func (m *Manager) noteRows(row tableView, rows []httable.Row, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if row.version < m.row.version {
		return
	}
	m.row = row
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
		m.noteLeaseLocked(host, l, r.Version, now)
		m.peerLocked(Member{Host: l.Host, Incarnation: l.Incarnation}).actsUnder(now, l.View)
		if member, ok := row.view.Find(l.Host); (!ok || member.Incarnation != l.Incarnation) && l.View < row.view.Number {
			settled = false
		}
	}
	for _, member := range row.view.Members {
		if !present[member.Host] {
			m.noteLeaseLocked(member.Host, Lease{}, 0, now)
		}
	}
	for host := range m.leases {
		if _, member := row.view.Find(host); !present[host] && !member {
			delete(m.leases, host)
		}
	}
	if settled {
		m.settled = max(m.settled, row.view.Number)
	}
	m.inDoubt = slices.DeleteFunc(m.inDoubt, func(r *removal) bool { return r.decided(row, m.leases) })
}

func (m *Manager) noteLeaseLocked(host string, l Lease, version uint64, now time.Time) {
	if old, ok := m.leases[host]; ok && old.version == version {
		return
	}
	m.leases[host] = observedLease{lease: l, version: version, since: now}
}

// decided reports whether the rows show that the removal was applied or cannot be
// any more.
func (r removal) decided(row tableView, leases map[string]observedLease) bool {
	if row.version != r.view {
		return true
	}
	for host, version := range r.lease {
		if leases[host].version != version {
			return true
		}
	}
	return false
}

// change makes the next view change that this host is entitled to.
func (m *Manager) change(ctx context.Context) error {
	m.mu.RLock()
	joined := m.joinedAt != 0
	m.mu.RUnlock()
	if !joined {
		return m.join(ctx)
	}
	if err := m.removeLapsed(ctx); err != nil {
		return err
	}
	return m.clean(ctx)
}

// join adds this host to the view, in place of an earlier incarnation whose lease
// has lapsed.
func (m *Manager) join(ctx context.Context) error {
	now := m.timers.Now()
	m.mu.Lock()
	self, row, old := m.self, m.row, m.leases[m.self.Host]
	if slices.Contains(row.view.Members, self) {
		m.joinedLocked(row.view, old.version, time.Time{}) // an earlier attempt was applied after all
		m.mu.Unlock()
		m.step(ctx)
		return nil
	}
	free := m.replaceableLocked(now, old)
	m.mu.Unlock()
	if !free {
		return nil
	}
	next := row.view.With(self)
	lease := Lease{Host: self.Host, Incarnation: self.Incarnation, Sequence: 1, View: next.Number}
	txn := httable.Txn{
		ID: uuid.NewString(),
		Conditions: []httable.Condition{
			{Key: viewKey, Version: row.version},
			{Key: leasePrefix + self.Host, Version: old.version},
		},
		Writes: []httable.Write{
			{Key: viewKey, Value: encode(next)},
			{Key: leasePrefix + self.Host, Value: encode(lease)},
		},
	}
	sent := m.timers.Now()
	version, err := httable.CommitWithReadBack(ctx, m.table, txn)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.row = tableView{view: next, version: version}
	m.joinedLocked(next, version, sent)
	m.settleNextLocked(next)
	m.mu.Unlock()
	m.step(ctx)
	logrus.WithFields(logrus.Fields{"event": "joined", "view": next.Number, "incarnation": self.Incarnation}).Info("joined the view")
	return nil
}

func (m *Manager) joinedLocked(v View, leaseVersion uint64, sent time.Time) {
	m.joinedAt = v.Number
	m.lease.sequence = 1
	m.lease.version = leaseVersion
	m.lease.view = v.Number
	m.lease.written = sent
	m.recordLocked(v)
	wake(m.renewNow)
}

// replaceableLocked reports whether this host may take the place of an earlier
// incarnation with the lease old. Its process must have ended, unless it is no
// member any more: as a member, it may have extended its lease by holds.
func (m *Manager) replaceableLocked(now time.Time, old observedLease) bool {
	member, ok := m.row.view.Find(m.self.Host)
	if old.version == 0 && !ok {
		return true
	}
	if now.Sub(old.since) < m.cfg.TakeoverDelay {
		return false
	}
	return !ok || member.Address == m.self.Address || !m.peerLocked(member).goneSince().IsZero()
}

// removeLapsed removes the members whose lease has lapsed. The transaction also
// deletes their lease rows, so that a delayed write cannot give them a lease.
func (m *Manager) removeLapsed(ctx context.Context) error {
	now := m.timers.Now()
	m.mu.Lock()
	next, change, row := m.removalLocked(now)
	if change == nil {
		m.mu.Unlock()
		return nil
	}
	m.inDoubt = append(m.inDoubt, change)
	m.mu.Unlock()
	txn := httable.Txn{
		ID:         uuid.NewString(),
		Conditions: []httable.Condition{{Key: viewKey, Version: row.version}},
		Writes:     []httable.Write{{Key: viewKey, Value: encode(next)}},
	}
	for host, version := range change.lease {
		txn.Conditions = append(txn.Conditions, httable.Condition{Key: leasePrefix + host, Version: version})
		txn.Writes = append(txn.Writes, httable.Write{Key: leasePrefix + host})
	}
	version, err := httable.CommitWithReadBack(ctx, m.table, txn)
	m.mu.Lock()
	if !errors.Is(err, httable.ErrResultUnknown) {
		m.inDoubt = slices.DeleteFunc(m.inDoubt, func(r *removal) bool { return r == change })
	}
	if err == nil {
		m.row = tableView{view: next, version: version}
		m.settleNextLocked(next)
	}
	m.mu.Unlock()
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"event": "members-removed", "view": next.Number, "members": len(next.Members)}).Info("removed members whose lease has lapsed")
	m.learn(next)
	return nil
}

// removalLocked returns the view without the members that this host may remove.
// While a hold runs it may remove none. A member must have let its lease row stand
// for the takeover delay; and it must have needed a hold of this host to extend its
// lease, so this host must be in the view that the row names, or the member's
// process must have ended. An earlier removal with an unknown result does not stand
// in the way: this one depends on the same version of the view row.
func (m *Manager) removalLocked(now time.Time) (View, *removal, tableView) {
	row := m.row
	if now.Before(m.holdUntil) || m.phase != running || !now.Before(m.lease.end()) || row.view.Number != m.view.Number {
		return View{}, nil, row
	}
	change := &removal{view: row.version, lease: map[string]uint64{}}
	next := row.view
	for _, member := range row.view.Members {
		seen := m.leases[member.Host]
		if member == m.self || now.Sub(seen.since) < m.cfg.TakeoverDelay {
			continue
		}
		if seen.lease.View < m.joinedAt && !m.endedForCertainLocked(now, member, seen) {
			continue
		}
		next = next.Without(member.Host)
		change.lease[member.Host] = seen.version
	}
	if len(change.lease) == 0 {
		return View{}, nil, row
	}
	next.Number = row.view.Number + 1
	return next, change, row
}

// endedForCertainLocked reports whether the member's process has ended. The host
// list counts only after the member was silent towards the table and this host for
// as long: without it, nobody could remove hosts that were all replaced at once.
func (m *Manager) endedForCertainLocked(now time.Time, member Member, seen observedLease) bool {
	p := m.peerLocked(member)
	if !p.goneSince().IsZero() {
		return true
	}
	limit := m.cfg.UnlistedTimeout
	return !p.unlisted.IsZero() && now.Sub(p.unlisted) >= limit && now.Sub(p.heard) >= limit && now.Sub(seen.since) >= limit
}

// settleNextLocked notes that next is settled if the view before was: this host
// has only added itself or removed members whose lease has lapsed.
func (m *Manager) settleNextLocked(next View) {
	if m.settled == next.Number-1 {
		m.settled = next.Number
	}
}

// clean deletes the lease rows that hosts left behind when they stopped before
// they had released all shards.
func (m *Manager) clean(ctx context.Context) error {
	now := m.timers.Now()
	m.mu.Lock()
	row := m.row
	txn := httable.Txn{ID: uuid.NewString()}
	for host, seen := range m.leases {
		member, ok := row.view.Find(host)
		if (ok && member.Incarnation == seen.lease.Incarnation) || seen.version == 0 || now.Sub(seen.since) < m.cfg.TakeoverDelay {
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

// removed stops everything that this host did as a member. It joins again under a
// new incarnation, so that nobody takes the new member for the old one.
func (m *Manager) removed(self Member) {
	m.transition.Lock()
	defer m.transition.Unlock()
	m.mu.Lock()
	if m.self != self || m.joinedAt == 0 || m.phase != running {
		m.mu.Unlock()
		return
	}
	m.rejoins++
	m.self.Incarnation = rejoined(m.cfg.Self.Incarnation, m.rejoins)
	m.joinedAt = 0
	m.view = View{}
	m.lease = leaseState{duration: m.lease.duration, contact: m.lease.contact, reached: m.lease.reached}
	dropped := m.serving
	m.serving = map[Shard]struct{}{}
	m.pending = map[Shard]struct{}{}
	m.tokens = map[Shard]Release{}
	m.mu.Unlock()
	for s := range dropped {
		m.handover.Drop(s)
	}
	logrus.WithFields(logrus.Fields{"event": "removed", "incarnation": self.Incarnation, "dropped": len(dropped)}).Warn("removed from the view; joining again")
	wake(m.observeNow)
}
