package htview

import (
	"slices"
	"time"
)

// peer is what this host knows about one incarnation of a host.
type peer struct {
	member            Member
	lastHeard         time.Time // time of the last message from it
	activeView        uint64    // highest active view number known of it
	activeViewSince   time.Time // when this host learned activeView
	appliedRevision   uint64
	hold              hold
	lastTableContact  time.Time // approximate time of its last table reply
	lastReply         time.Time
	firstRefused      time.Time // first of the latest consecutive refused connections
	lastRefused       time.Time // last of them
	replacedAt        time.Time // first reply of another incarnation from its address
	stoppedAt         time.Time // when it first reported that it had stopped
	unlistedSince     time.Time // first host list read without it since the last one with it
	leaving           bool      // marked as leaving in the host list
	heartbeatInFlight bool      // a heartbeat to it has no reply yet
}

// hold is a hold received from a peer, with times on this host's clock.
type hold struct {
	until            time.Time
	lastTableContact time.Time // upper bound of the time of the giver's last table reply
}

func peerID(m Member) string {
	return m.Host + "/" + m.Incarnation
}

func (m *Manager) peerLocked(member Member) *peer {
	p, ok := m.peerByID[peerID(member)]
	if !ok {
		p = &peer{member: member}
		m.peerByID[peerID(member)] = p
	}
	if member.Address != "" {
		p.member = member
	}
	return p
}

func (p *peer) recordMessage(now time.Time, view, appliedRevision uint64, stopped bool) {
	p.lastHeard = now
	p.firstRefused, p.lastRefused = time.Time{}, time.Time{}
	p.appliedRevision = max(p.appliedRevision, appliedRevision)
	p.recordActiveView(now, view)
	if stopped {
		p.stoppedAt = firstNonZero(p.stoppedAt, now)
	}
}

func (p *peer) recordActiveView(now time.Time, view uint64) {
	if view > p.activeView {
		p.activeView, p.activeViewSince = view, now
	}
}

// recordReply records a reply to a heartbeat. The peer made the reply at an unknown
// time between sent and answered, so each time of a hold is computed from the bound
// that is on the safe side.
func (p *peer) recordReply(r HeartbeatReply, sent, answered time.Time, cfg Config) {
	p.recordMessage(answered, r.View, r.Gossip.AppliedRevision, r.Stopped)
	p.lastReply = answered
	p.lastTableContact = sent.Add(-r.TableAge)
	if !r.Hold {
		p.hold = hold{}
		return
	}
	p.hold = hold{
		until:            sent.Add(cfg.HoldDuration),
		lastTableContact: answered.Add(-r.TableAge + r.TableAge/50), // clock rates differ by up to 1%
	}
}

func (p *peer) recordFailure(now time.Time, refused bool) {
	if !refused {
		if p.endedSince().IsZero() {
			p.firstRefused, p.lastRefused = time.Time{}, time.Time{}
		}
		return
	}
	p.firstRefused = firstNonZero(p.firstRefused, now)
	p.lastRefused = now
}

// endedSince returns the time from which the incarnation is known to have ended, or
// the zero time if it is not known to have ended. The host list is not used here: it
// may be out of date, and a host that is not on it may still reach the table.
func (p *peer) endedSince() time.Time {
	switch {
	case !p.stoppedAt.IsZero():
		return p.stoppedAt
	case !p.replacedAt.IsZero():
		return p.replacedAt
	case !p.firstRefused.IsZero() && p.lastRefused.Sub(p.firstRefused) >= refusedConfirmation:
		return p.firstRefused
	default:
		return time.Time{}
	}
}

func firstNonZero(t, now time.Time) time.Time {
	if t.IsZero() {
		return now
	}
	return t
}

// peersReachingTable returns the members that have reached the table recently, the
// latest first. It returns at most two, because requests to more of them could
// use up the lease.
func (m *Manager) peersReachingTable(now time.Time) []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var found []*peer
	for _, member := range m.newest.Members {
		p, ok := m.peerByID[peerID(member)]
		if !ok || member == m.self || now.Sub(p.lastTableContact) > m.cfg.tableContactTimeout()+m.cfg.HeartbeatInterval || now.Sub(p.lastReply) > 2*m.cfg.HeartbeatInterval {
			continue
		}
		found = append(found, p)
	}
	slices.SortStableFunc(found, func(a, b *peer) int { return b.lastTableContact.Compare(a.lastTableContact) })
	var members []Member
	for _, p := range found[:min(2, len(found))] {
		members = append(members, p.member)
	}
	return members
}
