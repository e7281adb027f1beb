package htview

import (
	"context"
	"errors"
	"slices"
	"time"
)

// beat sends a heartbeat to every other member. A heartbeat that is still
// unanswered is not followed by another to the same member.
func (m *Manager) beat(ctx context.Context) {
	now := m.timers.Now()
	g := m.gossip.Outgoing(now)
	m.mu.Lock()
	m.extendLocked(now)
	hb := m.heartbeatLocked(now, g)
	var targets []Member
	for _, to := range m.newest.Members {
		p := m.peerLocked(to)
		if to.Host == m.self.Host && to.Incarnation == m.self.Incarnation || p.beating {
			continue
		}
		p.beating = true
		targets = append(targets, to)
	}
	m.mu.Unlock()
	for _, to := range targets {
		go m.beatOne(ctx, to, hb)
	}
}

func (m *Manager) heartbeatLocked(now time.Time, g Gossip) Heartbeat {
	return Heartbeat{
		From: m.self, View: m.acted, Stopped: m.endedLocked(), TableAge: m.tableAgeLocked(now), Gossip: g,
	}
}

// neverReached stands for the table age of a host that has not reached the table.
const neverReached = 1000 * time.Hour

func (m *Manager) tableAgeLocked(now time.Time) time.Duration {
	if m.lease.reached.IsZero() {
		return neverReached
	}
	return now.Sub(m.lease.reached)
}

func (m *Manager) beatOne(ctx context.Context, to Member, hb Heartbeat) {
	sent := m.timers.Now()
	callCtx, cancel := context.WithTimeout(ctx, 2*m.cfg.HeartbeatInterval)
	defer cancel()
	reply, err := m.peers.Heartbeat(callCtx, to, hb)
	answered := m.timers.Now()
	m.mu.Lock()
	p := m.peerLocked(to)
	p.beating = false
	if err != nil {
		p.failed(answered, errors.Is(err, ErrConnectionRefused))
		m.extendLocked(answered)
		m.mu.Unlock()
		return
	}
	if reply.From.Incarnation != to.Incarnation || reply.From.Host != to.Host {
		p.replaced = firstSet(p.replaced, answered)
	} else {
		p.answered(reply, sent, answered, m.cfg)
	}
	m.extendLocked(answered)
	m.settled = max(m.settled, reply.SettledView)
	m.mu.Unlock()
	m.gossip.Incoming(answered, reply.From, reply.Gossip)
	if reply.NewerView != nil {
		m.learn(*reply.NewerView)
	}
}

// HandleHeartbeat answers a heartbeat. The reply carries a hold if this host does
// not reach the table, and the view if the sender's is older.
func (m *Manager) HandleHeartbeat(hb Heartbeat) HeartbeatReply {
	now := m.timers.Now()
	g := m.gossip.Outgoing(now)
	m.mu.Lock()
	p := m.peerLocked(hb.From)
	p.heardFrom(now, hb.View, hb.Gossip.AppliedRevision, hb.Stopped)
	reply := HeartbeatReply{
		From: m.self, View: m.acted, SettledView: m.settled, Stopped: m.endedLocked(),
		TableAge: m.tableAgeLocked(now), Gossip: g,
	}
	if hb.View < m.newest.Number {
		newer := m.newest
		reply.NewerView = &newer
	}
	reply.Hold = m.giveHoldLocked(now, hb.From)
	behind := hb.View > m.newest.Number
	m.mu.Unlock()
	if behind {
		wake(m.observeNow)
	}
	m.gossip.Incoming(now, hb.From, hb.Gossip)
	return reply
}

// giveHoldLocked promises to remove no member for the hold duration, if this host
// does not reach the table. A removal whose result is unknown may still take
// effect, so no hold is given until it is settled.
func (m *Manager) giveHoldLocked(now time.Time, to Member) bool {
	if m.joinedAt == 0 || m.phase != running || m.atTableLocked(now) || len(m.inDoubt) > 0 {
		return false
	}
	if !slices.Contains(m.newest.Members, to) {
		return false
	}
	m.holdUntil = now.Add(m.cfg.HoldDuration + m.cfg.HoldDuration/50) // clocks differ in rate by up to 1%
	return true
}

// extendLocked extends the lease while every other member either has given a hold
// that still runs or is gone. A hold counts only if its giver has not reached the
// table since the lease ended, and a gone member only if it was gone by then: a
// host that reached the table later may have removed this host, and one that has
// since joined owns its shards. Holds therefore never revive a lease over a time in
// which the host could have been removed.
func (m *Manager) extendLocked(now time.Time) {
	if m.joinedAt == 0 || m.phase != running || m.lease.written.IsZero() {
		return
	}
	end := m.lease.end()
	until := now.Add(m.cfg.HoldDuration)
	for _, member := range m.newest.Members {
		if member == m.self {
			continue
		}
		p := m.peerLocked(member)
		if since := p.goneSince(); !since.IsZero() && !since.After(end) {
			continue
		}
		if !p.hold.until.After(now) || p.hold.reached.After(end) {
			return
		}
		until = earlier(until, p.hold.until)
	}
	m.lease.held = later(m.lease.held, until)
}
