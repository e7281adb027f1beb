package htview

import (
	"slices"
	"time"
)

// peer is what this host knows of another incarnation of a host.
type peer struct {
	member   Member
	heard    time.Time // last message from it
	acted    uint64    // highest view it is known to act under
	actedAt  time.Time // when acted was learned
	applied  uint64
	hold     hold
	tableAt  time.Time // about when it last reached the table
	replied  time.Time
	refused  time.Time // first of the refused connections since the last contact
	refusals time.Time // last of them
	replaced time.Time // first answer of another incarnation at its address
	ended    time.Time // when it said that it had stopped
	unlisted time.Time // first host list read without it since one with it
	leaving  bool      // as marked in the host list
	beating  bool      // a heartbeat is unanswered
}

// hold is a promise of a peer, in times of this host's clock.
type hold struct {
	until   time.Time
	reached time.Time // latest time at which the giver may have reached the table
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

func (p *peer) heardFrom(now time.Time, view, applied uint64, ended bool) {
	p.heard = now
	p.refused, p.refusals = time.Time{}, time.Time{}
	p.applied = max(p.applied, applied)
	p.actsUnder(now, view)
	if ended {
		p.ended = firstSet(p.ended, now)
	}
}

func (p *peer) actsUnder(now time.Time, view uint64) {
	if view > p.acted {
		p.acted, p.actedAt = view, now
	}
}

// answered notes a reply to a heartbeat. The times of a hold are bounded by the
// time of the request and of the answer, because the delay in between is unknown.
func (p *peer) answered(r HeartbeatReply, sent, answered time.Time, cfg Config) {
	p.heardFrom(answered, r.View, r.Gossip.AppliedRevision, r.Stopped)
	p.replied = answered
	p.tableAt = sent.Add(-r.TableAge)
	if !r.Hold {
		p.hold = hold{}
		return
	}
	p.hold = hold{
		until:   sent.Add(cfg.HoldDuration),
		reached: answered.Add(-r.TableAge + r.TableAge/50), // clocks differ in rate by up to 1%
	}
}

func (p *peer) failed(now time.Time, refused bool) {
	if !refused {
		if p.goneSince().IsZero() {
			p.refused, p.refusals = time.Time{}, time.Time{}
		}
		return
	}
	p.refused = firstSet(p.refused, now)
	p.refusals = now
}

// goneSince returns the time from which the incarnation is known to have ended, or
// the zero time. The host list is no evidence here: it lags, and a host that it
// does not name may still reach the table.
func (p *peer) goneSince() time.Time {
	switch {
	case !p.ended.IsZero():
		return p.ended
	case !p.replaced.IsZero():
		return p.replaced
	case !p.refused.IsZero() && p.refusals.Sub(p.refused) >= refusedSettle:
		return p.refused
	default:
		return time.Time{}
	}
}

func firstSet(t, now time.Time) time.Time {
	if t.IsZero() {
		return now
	}
	return t
}

// peersAtTable returns members that have reached the table lately, the most
// recent one first. There are at most two: more would use up the lease.
func (m *Manager) peersAtTable(now time.Time) []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var found []*peer
	for _, member := range m.newest.Members {
		p, ok := m.peerByID[peerID(member)]
		if !ok || member == m.self || now.Sub(p.tableAt) > m.cfg.holdAfter()+m.cfg.HeartbeatInterval || now.Sub(p.replied) > 2*m.cfg.HeartbeatInterval {
			continue
		}
		found = append(found, p)
	}
	slices.SortStableFunc(found, func(a, b *peer) int { return b.tableAt.Compare(a.tableAt) })
	var members []Member
	for _, p := range found[:min(2, len(found))] {
		members = append(members, p.member)
	}
	return members
}
