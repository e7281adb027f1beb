package htview

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// learn takes note of a view that was read from the table or told by a member,
// and acts under the newest one.
func (m *Manager) learn(v View) {
	m.mu.Lock()
	m.recordLocked(v)
	self := m.self
	lost := m.joinedAt != 0 && m.phase == running && !slices.Contains(m.newest.Members, self)
	m.mu.Unlock()
	if lost {
		m.removed(self)
		return
	}
	m.step(context.Background())
}

func (m *Manager) recordLocked(v View) {
	if v.Number == 0 {
		return
	}
	m.history[v.Number] = v
	delete(m.history, v.Number-historySize)
	if v.Number > m.newest.Number {
		m.newest = v
	}
}

// step acts under the newest view and starts the shards that became free.
func (m *Manager) step(context.Context) {
	m.transition.Lock()
	defer m.transition.Unlock()
	now := m.timers.Now()
	m.adopt(now)
	m.install(now)
}

// adopt acts under the newest view, unless a hold binds this host to the current
// one. It needs the transition lock. Shards that move away are collected before
// the new number is told to anyone, also in a release, because it proves that they
// are not served.
func (m *Manager) adopt(now time.Time) {
	m.mu.Lock()
	if m.joinedAt == 0 || m.phase != running || m.newest.Number <= m.view.Number || now.Before(m.holdUntil) {
		m.mu.Unlock()
		return
	}
	m.view = m.newest
	view := m.view
	moved := m.takeMovedLocked(view)
	forwarded := m.takeTokensLocked(view)
	m.pendLocked()
	m.mu.Unlock()
	for _, s := range moved {
		forwarded = append(forwarded, Release{From: m.self, Shard: s, View: view, State: m.handover.Collect(s)})
	}
	m.mu.Lock()
	m.acted = view.Number
	m.mu.Unlock()
	for _, r := range forwarded {
		m.release(r)
	}
	logrus.WithFields(logrus.Fields{"event": "view-adopted", "view": view.Number, "members": len(view.Members), "released": len(moved)}).Info("acting under a new view")
	wake(m.renewNow)
}

// takeMovedLocked stops serving the shards that have another owner in view.
func (m *Manager) takeMovedLocked(view View) []Shard {
	var moved []Shard
	for s := range m.serving {
		if owner, _ := view.Owner(s); owner != m.self {
			delete(m.serving, s)
			moved = append(moved, s)
		}
	}
	return moved
}

// takeTokensLocked removes the states received for shards that this host does not
// own in view, and returns those that the new owner can use.
func (m *Manager) takeTokensLocked(view View) []Release {
	var forwarded []Release
	for s, r := range m.tokens {
		owner, _ := view.Owner(s)
		if owner == m.self || (r.SenderStopped && owner == r.From) {
			continue
		}
		if !r.SenderStopped && m.usableLocked(s, r, view.Number-1) {
			forwarded = append(forwarded, Release{From: m.self, Shard: s, View: view, State: r.State})
		}
		delete(m.tokens, s)
	}
	return forwarded
}

// pendLocked lists the shards that this host owns and does not serve yet.
func (m *Manager) pendLocked() {
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

// install starts the pending shards that no other host may still serve. It needs
// the transition lock.
func (m *Manager) install(now time.Time) {
	ready := map[Shard][]byte{}
	m.mu.Lock()
	if m.joinedAt != 0 && m.phase == running && now.Before(m.lease.end()) {
		for s := range m.pending {
			if state, ok := m.readyLocked(s, now); ok {
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
		delete(m.tokens, s)
	}
}

// readyLocked reports whether the shard may be served, and the state to start with.
func (m *Manager) readyLocked(s Shard, now time.Time) ([]byte, bool) {
	r, ok := m.tokens[s]
	if ok && !m.usableLocked(s, r, m.view.Number) {
		delete(m.tokens, s)
		ok = false
	}
	if ok {
		return r.State, m.clearLocked(s)
	}
	return nil, m.clearLocked(s) && !m.awaitedLocked(s, now)
}

// usableLocked reports whether the state in r is the last one of the shard: no
// host other than its sender and this one owned the shard since, up to the view
// with the given number. Otherwise another host may have served the shard in
// between, and its memory would be missing.
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

// clearLocked reports whether no other host may still serve the shard. A host does
// not serve what it owns only in views older than the one that it acts under; an
// owner in a view that is not known may be any host.
//
// While another host is known to act under a newer view, nothing is started: that
// host may have gone from an older view to the newer one and released the shard to
// the owner there, without ever acting under this one.
func (m *Manager) clearLocked(s Shard) bool {
	candidates, known := m.candidatesLocked()
	if !known {
		return false
	}
	current := m.view.Number
	for _, member := range candidates {
		if member == m.self {
			continue
		}
		acted := m.peerLocked(member).acted
		if acted > current {
			return false
		}
		for n := acted; n < current; n++ {
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

// candidatesLocked returns the hosts that may serve shards: the members of the view
// acted under and of all views since the last settled one. It reports false if one
// of these views is not known.
func (m *Manager) candidatesLocked() ([]Member, bool) {
	candidates := slices.Clone(m.view.Members)
	for n := m.settled; n < m.view.Number; n++ {
		v, known := m.history[n]
		if !known {
			return nil, false
		}
		for _, member := range v.Members {
			if !slices.Contains(candidates, member) && m.peerLocked(member).ended.IsZero() {
				candidates = append(candidates, member)
			}
		}
	}
	return candidates, true
}

// awaitedLocked reports whether the state of the shard may still arrive from a
// previous owner that has said that it stopped serving it, and so did not lapse.
func (m *Manager) awaitedLocked(s Shard, now time.Time) bool {
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
		return p.acted > n && now.Before(p.actedAt.Add(releaseWait))
	}
	return false
}

// HandleRelease takes over the state of a shard from its previous owner.
func (m *Manager) HandleRelease(r Release) error {
	m.learn(r.View)
	if err := m.keep(r); err != nil {
		return err
	}
	m.step(context.Background())
	return nil
}

func (m *Manager) keep(r Release) error {
	m.transition.Lock()
	defer m.transition.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerLocked(r.From).actsUnder(m.timers.Now(), r.View.Number)
	if _, ok := m.serving[r.Shard]; ok {
		return nil // started without this state, which is too old by now
	}
	owner, _ := m.view.Owner(r.Shard)
	if r.successor() != m.self || (!r.SenderStopped && m.view.Number >= r.View.Number && owner != m.self) {
		return ErrNotOwner
	}
	if old, ok := m.tokens[r.Shard]; !ok || old.View.Number <= r.View.Number {
		m.tokens[r.Shard] = r
	}
	return nil
}

// release sends a shard to its successor, with retries.
func (m *Manager) release(r Release) {
	to := r.successor()
	if to == (Member{}) {
		return
	}
	m.releases.Add(1)
	go func() {
		defer m.releases.Done()
		ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
		defer cancel()
		for ctx.Err() == nil {
			err := m.sendRelease(ctx, to, r)
			if err == nil || errors.Is(err, ErrNotOwner) {
				return
			}
			sleep(ctx, releaseRetry)
		}
		logrus.WithFields(logrus.Fields{"event": "release-failed", "shard": r.Shard.String(), "to": to.Host}).Warn("shard state not delivered; its new owner starts without memory")
	}()
}

func (m *Manager) sendRelease(ctx context.Context, to Member, r Release) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
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
