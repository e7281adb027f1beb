package htview

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// learnView records a view that was read from the table or received from a member
// and applies the newest known view. It resets the membership of this host if the
// newest view does not contain it.
func (m *Manager) learnView(v View) {
	m.mu.Lock()
	m.recordLocked(v)
	self := m.self
	wasRemoved := m.joinedAt != 0 && m.phase == running && !slices.Contains(m.newest.Members, self)
	m.mu.Unlock()
	if wasRemoved {
		m.handleRemoval(self)
		return
	}
	m.applyNewestView(context.Background())
}

func (m *Manager) recordLocked(v View) {
	if v.Number == 0 {
		return
	}
	m.history[v.Number] = v
	delete(m.history, v.Number-viewHistorySize)
	if v.Number > m.newest.Number {
		m.newest = v
	}
}

// applyNewestView adopts the newest view and installs the shards that no other
// host may still serve.
func (m *Manager) applyNewestView(context.Context) {
	m.transition.Lock()
	defer m.transition.Unlock()
	now := m.timers.Now()
	m.adopt(now)
	m.install(now)
}

// adopt makes the newest view the active one, unless a hold given by this host is
// still in force. The caller must hold the transition lock. Shards that move to
// another owner are collected before this host sends the new view number in any
// message, including a release, or in its lease row, because other hosts take that
// number as proof that the shards are no longer served here.
func (m *Manager) adopt(now time.Time) {
	m.mu.Lock()
	if m.joinedAt == 0 || m.phase != running || m.newest.Number <= m.view.Number || now.Before(m.givenHoldUntil) {
		m.mu.Unlock()
		return
	}
	m.view = m.newest
	view := m.view
	moved := m.removeMovedLocked(view)
	forwarded := m.removeUnownedStatesLocked(view)
	m.updatePendingLocked()
	m.mu.Unlock()
	for _, s := range moved {
		forwarded = append(forwarded, Release{From: m.self, Shard: s, View: view, State: m.handover.Collect(s)})
	}
	m.mu.Lock()
	m.announced = view.Number
	m.mu.Unlock()
	for _, r := range forwarded {
		m.sendReleaseWithRetry(r)
	}
	logrus.WithFields(logrus.Fields{"event": "view-adopted", "view": view.Number, "members": len(view.Members), "released": len(moved)}).Info("adopted a new view")
	notify(m.renewNow)
}

// removeMovedLocked removes the shards that have another owner in view from the
// served shards and returns them.
func (m *Manager) removeMovedLocked(view View) []Shard {
	var moved []Shard
	for s := range m.serving {
		if owner, _ := view.Owner(s); owner != m.self {
			delete(m.serving, s)
			moved = append(moved, s)
		}
	}
	return moved
}

// removeUnownedStatesLocked removes the states received for shards that this host
// does not own in view. It returns releases that forward the states that the new
// owner can use.
func (m *Manager) removeUnownedStatesLocked(view View) []Release {
	var forwarded []Release
	for s, r := range m.received {
		owner, _ := view.Owner(s)
		if owner == m.self || (r.SenderStopped && owner == r.From) {
			continue
		}
		if !r.SenderStopped && m.usableLocked(s, r, view.Number-1) {
			forwarded = append(forwarded, Release{From: m.self, Shard: s, View: view, State: r.State})
		}
		delete(m.received, s)
	}
	return forwarded
}

// updatePendingLocked recomputes the set of shards that this host owns in the
// active view and does not serve yet.
func (m *Manager) updatePendingLocked() {
	m.pending = map[Shard]struct{}{}
	for s := range m.shards {
		if _, ok := m.serving[s]; ok {
			continue
		}
		if owner, ok := m.view.Owner(s); ok && owner == m.self {
			m.pending[s] = struct{}{}
		}
	}
}

// install starts serving the pending shards that no other host may still serve.
// The caller must hold the transition lock.
func (m *Manager) install(now time.Time) {
	ready := map[Shard][]byte{}
	m.mu.Lock()
	if m.joinedAt != 0 && m.phase == running && now.Before(m.lease.end()) {
		for s := range m.pending {
			if state, ok := m.installableLocked(s, now); ok {
				ready[s] = state
			}
		}
	}
	m.mu.Unlock()
	for s, state := range ready {
		m.handover.Install(s, state)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range ready {
		m.serving[s] = struct{}{}
		delete(m.pending, s)
		delete(m.received, s)
	}
}

// installableLocked reports whether the shard may be installed, and returns the
// state to install. The state is nil if none was received.
func (m *Manager) installableLocked(s Shard, now time.Time) ([]byte, bool) {
	r, ok := m.received[s]
	if ok && !m.usableLocked(s, r, m.view.Number) {
		delete(m.received, s)
		ok = false
	}
	if ok {
		return r.State, m.safeToServeLocked(s)
	}
	return nil, m.safeToServeLocked(s) && !m.stateExpectedLocked(s, now)
}

// usableLocked reports whether the state in r is the latest state of the shard:
// only its sender and this host owned the shard from r.View up to the view with
// the given number. Otherwise another host may have served the shard in between,
// and its changes to the state would be missing.
func (m *Manager) usableLocked(s Shard, r Release, until uint64) bool {
	for n := r.View.Number; n <= until; n++ {
		v, known := m.history[n]
		if !known {
			return false
		}
		owner, _ := v.Owner(s)
		if owner != m.self && !(r.SenderStopped && owner == r.From) {
			return false
		}
	}
	return true
}

// safeToServeLocked reports whether no other host may still serve the shard. A host
// does not serve shards that it owns only in views older than its active view. It
// reports false if the history lacks a view that has to be checked, because any
// host may own the shard in that view.
//
// It also reports false while another possible server has a newer active view: that
// host may have changed from an older view directly to the newer one, without
// adopting this one, and released the shard to the owner in the newer view.
func (m *Manager) safeToServeLocked(s Shard) bool {
	servers, known := m.possibleServersLocked()
	if !known {
		return false
	}
	current := m.view.Number
	for _, member := range servers {
		if member == m.self {
			continue
		}
		activeView := m.peerLocked(member).activeView
		if activeView > current {
			return false
		}
		for n := activeView; n < current; n++ {
			v, known := m.history[n]
			if !known {
				return false
			}
			if owner, _ := v.Owner(s); owner == member {
				return false
			}
		}
	}
	return true
}

// possibleServersLocked returns the hosts that may serve shards: the members of the
// active view, and those members of the views since the last settled one that have
// not reported that they stopped. It reports false if one of these views is not in
// the history.
func (m *Manager) possibleServersLocked() ([]Member, bool) {
	servers := slices.Clone(m.view.Members)
	for n := m.settled; n < m.view.Number; n++ {
		v, known := m.history[n]
		if !known {
			return nil, false
		}
		for _, member := range v.Members {
			if !slices.Contains(servers, member) && m.peerLocked(member).stoppedAt.IsZero() {
				servers = append(servers, member)
			}
		}
	}
	return servers, true
}

// stateExpectedLocked reports whether the state of the shard may still arrive from
// its previous owner. That is so for stateWaitTimeout after this host learned that
// the previous owner has a newer active view: such an owner released the shard and
// did not lose it by the expiry of its lease.
func (m *Manager) stateExpectedLocked(s Shard, now time.Time) bool {
	for n := m.view.Number - 1; n > 0; n-- {
		v, known := m.history[n]
		if !known {
			return false
		}
		owner, ok := v.Owner(s)
		if !ok || owner == m.self {
			continue
		}
		p := m.peerLocked(owner)
		return p.activeView > n && now.Before(p.activeViewSince.Add(stateWaitTimeout))
	}
	return false
}

// HandleRelease accepts the state of a shard from its previous owner. It returns
// ErrNotOwner if this host is not the recipient or no longer owns the shard.
func (m *Manager) HandleRelease(r Release) error {
	m.learnView(r.View)
	if err := m.storeRelease(r); err != nil {
		return err
	}
	m.applyNewestView(context.Background())
	return nil
}

func (m *Manager) storeRelease(r Release) error {
	m.transition.Lock()
	defer m.transition.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerLocked(r.From).recordActiveView(m.timers.Now(), r.View.Number)
	if _, ok := m.serving[r.Shard]; ok {
		return nil // already serving without this state, which is stale now
	}
	owner, _ := m.view.Owner(r.Shard)
	if r.recipient() != m.self || (!r.SenderStopped && m.view.Number >= r.View.Number && owner != m.self) {
		return ErrNotOwner
	}
	if old, ok := m.received[r.Shard]; !ok || old.View.Number <= r.View.Number {
		m.received[r.Shard] = r
	}
	return nil
}

// sendReleaseWithRetry sends a release to its recipient in the background. It
// retries until the recipient accepts it or returns ErrNotOwner, or until
// releaseTimeout has passed.
func (m *Manager) sendReleaseWithRetry(r Release) {
	to := r.recipient()
	if to == (Member{}) {
		return
	}
	m.releasesInFlight.Add(1)
	go func() {
		defer m.releasesInFlight.Done()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		for ctx.Err() == nil {
			err := m.trySendRelease(ctx, to, r)
			if err == nil || errors.Is(err, ErrNotOwner) {
				return
			}
			sleep(ctx, releaseRetryDelay)
		}
		logrus.WithFields(logrus.Fields{"event": "release-failed", "shard": r.Shard.String(), "to": to.Host}).Warn("shard state not delivered; the new owner starts with empty state")
	}()
}

func (m *Manager) trySendRelease(ctx context.Context, to Member, r Release) error {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	return m.peers.Release(ctx, to, r)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
