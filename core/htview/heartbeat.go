package htview

import (
	"context"
	"errors"
	"slices"
	"time"
)

// sendHeartbeats sends a heartbeat to every other member. It skips members for which
// a heartbeat is still in flight.
func (m *Manager) sendHeartbeats(ctx context.Context) {
	now := m.timers.Now()
	g := m.gossip.Outgoing(now)
	m.mu.Lock()
	m.extendLeaseLocked(now)
	hb := m.heartbeatLocked(now, g)
	var targets []Member
	for _, to := range m.newest.Members {
		p := m.peerLocked(to)
		if to.Host == m.self.Host && to.Incarnation == m.self.Incarnation || p.heartbeatInFlight {
			continue
		}
		p.heartbeatInFlight = true
		targets = append(targets, to)
	}
	m.mu.Unlock()
	for _, to := range targets {
		go m.sendHeartbeat(ctx, to, hb)
	}
}

func (m *Manager) heartbeatLocked(now time.Time, g Gossip) Heartbeat {
	return Heartbeat{
		From: m.self, View: m.announced, Stopped: m.hasStoppedLocked(), TableAge: m.tableAgeLocked(now), Gossip: g,
	}
}

// unreachedTableAge is the table age that a host reports if it has never reached the
// table.
const unreachedTableAge = 1000 * time.Hour

func (m *Manager) tableAgeLocked(now time.Time) time.Duration {
	if m.lease.lastTableReply.IsZero() {
		return unreachedTableAge
	}
	return now.Sub(m.lease.lastTableReply)
}

func (m *Manager) sendHeartbeat(ctx context.Context, to Member, hb Heartbeat) {
	sent := m.timers.Now()
	callCtx, cancel := context.WithTimeout(ctx, 2*m.cfg.HeartbeatInterval)
	defer cancel()
	reply, err := m.peers.Heartbeat(callCtx, to, hb)
	answered := m.timers.Now()
	m.mu.Lock()
	p := m.peerLocked(to)
	p.heartbeatInFlight = false
	if err != nil {
		p.recordFailure(answered, errors.Is(err, ErrConnectionRefused))
		m.extendLeaseLocked(answered)
		m.mu.Unlock()
		return
	}
	if reply.From.Incarnation != to.Incarnation || reply.From.Host != to.Host {
		p.replacedAt = firstNonZero(p.replacedAt, answered)
	} else {
		p.recordReply(reply, sent, answered, m.cfg)
	}
	m.extendLeaseLocked(answered)
	m.settled = max(m.settled, reply.SettledView)
	m.mu.Unlock()
	m.gossip.Incoming(answered, reply.From, reply.Gossip)
	if reply.NewerView != nil {
		m.learnView(*reply.NewerView)
	}
}

// HandleHeartbeat returns the reply to a heartbeat. The reply contains a hold if this
// host may give one, and the newest view if the sender's view is older.
func (m *Manager) HandleHeartbeat(hb Heartbeat) HeartbeatReply {
	now := m.timers.Now()
	g := m.gossip.Outgoing(now)
	m.mu.Lock()
	p := m.peerLocked(hb.From)
	p.recordMessage(now, hb.View, hb.Gossip.AppliedRevision, hb.Stopped)
	reply := HeartbeatReply{
		From: m.self, View: m.announced, SettledView: m.settled, Stopped: m.hasStoppedLocked(),
		TableAge: m.tableAgeLocked(now), Gossip: g,
	}
	if hb.View < m.newest.Number {
		newer := m.newest
		reply.NewerView = &newer
	}
	reply.Hold = m.grantHoldLocked(now, hb.From)
	outdated := hb.View > m.newest.Number
	m.mu.Unlock()
	if outdated {
		notify(m.observeNow)
	}
	m.gossip.Incoming(now, hb.From, hb.Gossip)
	return reply
}

// grantHoldLocked reports whether this host gives a hold to the member. If so, this
// host removes no member until the hold ends. A host gives holds only if it has not
// reached the table recently. It gives none while a removal with an unknown result may
// still take effect.
func (m *Manager) grantHoldLocked(now time.Time, to Member) bool {
	if m.joinedAt == 0 || m.phase != running || m.tableReachableLocked(now) || len(m.unresolvedRemovals) > 0 {
		return false
	}
	if !slices.Contains(m.newest.Members, to) {
		return false
	}
	m.givenHoldUntil = now.Add(m.cfg.HoldDuration + m.cfg.HoldDuration/50) // clock rates differ by up to 1%
	return true
}

// extendLeaseLocked extends the lease if every other member has ended or has given a
// hold that is still in force. A hold counts only if its giver has not reached the
// table since the lease ended, and a member counts as ended only if it had ended by
// then. Otherwise the member may have reached the table later and removed this host,
// and a host that has joined since may own this host's shards. Holds therefore never
// extend a lease across a period in which this host could have been removed.
func (m *Manager) extendLeaseLocked(now time.Time) {
	if m.joinedAt == 0 || m.phase != running || m.lease.lastWrite.IsZero() {
		return
	}
	end := m.lease.end()
	until := now.Add(m.cfg.HoldDuration)
	for _, member := range m.newest.Members {
		if member == m.self {
			continue
		}
		p := m.peerLocked(member)
		if since := p.endedSince(); !since.IsZero() && !since.After(end) {
			continue
		}
		if !p.hold.until.After(now) || p.hold.lastTableContact.After(end) {
			return
		}
		until = earlier(until, p.hold.until)
	}
	m.lease.extendedUntil = later(m.lease.extendedUntil, until)
}
