package htview

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Mode is the basis on which the host may serve shards.
type Mode string

// The modes of a host.
const (
	ModeLeased Mode = "leased"  // the lease is valid without holds
	ModeHeld   Mode = "held"    // the lease is valid only because holds extend it
	ModeCutOff Mode = "cut-off" // no valid lease
)

// Dump is the state of a Manager for the state dump.
type Dump struct {
	Self              Member      `json:"self"`
	View              View        `json:"view"`
	NewestView        uint64      `json:"newest-view"`
	SettledView       uint64      `json:"settled-view"`
	Mode              Mode        `json:"mode"`
	LeaseMS           int64       `json:"lease-ms"` // remaining time; negative after expiry
	HoldMS            int64       `json:"hold-ms"`  // remaining time of the last hold given; 0 if none is in force
	Peers             []PeerState `json:"peers"`
	Serving           []string    `json:"serving"`
	Pending           []string    `json:"pending"`              // owned, but not served yet
	RemovalUnresolved bool        `json:"view-change-in-doubt"` // a removal of members is in progress or has an unknown result
	TableAgeMS        int64       `json:"table-age-ms"`
}

// PeerState is what this host knows about one incarnation of another host.
type PeerState struct {
	Member          Member    `json:"member"`
	LastHeard       time.Time `json:"last-heard"`
	AppliedRevision uint64    `json:"applied-revision"`
	View            uint64    `json:"view"`
	InView          bool      `json:"in-view"`
	Ended           bool      `json:"gone"`         // the process of this incarnation has ended; output as gone
	LeaseExpired    bool      `json:"lapsed"`       // no lease row of this incarnation, or the row has not changed for the takeover delay; output as lapsed
	Leaving         bool      `json:"leaving"`      // marked as leaving in the host list
	HoldMS          int64     `json:"hold-left-ms"` // remaining time of the hold that it gave
}

// State returns the state for the state dump.
func (m *Manager) State() Dump {
	peers := m.PeerStates()
	now := m.timers.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Dump{
		Self: m.self, View: m.view, NewestView: m.newest.Number, SettledView: m.settled,
		Mode: m.modeLocked(now), LeaseMS: m.lease.end().Sub(now).Milliseconds(),
		HoldMS: max(0, m.givenHoldUntil.Sub(now).Milliseconds()),
		Peers:  peers, Serving: shardNames(m.serving), Pending: shardNames(m.pending),
		RemovalUnresolved: len(m.unresolvedRemovals) > 0, TableAgeMS: m.tableAgeLocked(now).Milliseconds(),
	}
}

func (m *Manager) modeLocked(now time.Time) Mode {
	switch {
	case now.Before(m.lease.endWithoutHolds()):
		return ModeLeased
	case now.Before(m.lease.end()):
		return ModeHeld
	default:
		return ModeCutOff
	}
}

// PeerStates returns the state of each known incarnation of the other hosts, from
// the views, the lease rows and the messages received, sorted by host and
// incarnation.
func (m *Manager) PeerStates() []PeerState {
	now := m.timers.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	var states []PeerState
	for id, p := range m.peerByID {
		if id != peerID(m.self) {
			states = append(states, m.peerStateLocked(p, now))
		}
	}
	slices.SortFunc(states, func(a, b PeerState) int { return strings.Compare(peerID(a.Member), peerID(b.Member)) })
	return states
}

func (m *Manager) peerStateLocked(p *peer, now time.Time) PeerState {
	seen, ok := m.leases[p.member.Host]
	current := ok && seen.lease.Incarnation == p.member.Incarnation
	return PeerState{
		Member: p.member, LastHeard: p.lastHeard, AppliedRevision: p.appliedRevision, View: p.activeView,
		InView:       slices.Contains(m.newest.Members, p.member),
		Ended:        !p.endedSince().IsZero(),
		LeaseExpired: !current || now.Sub(seen.firstSeen) >= m.cfg.TakeoverDelay,
		Leaving:      p.leaving,
		HoldMS:       max(0, p.hold.until.Sub(now).Milliseconds()),
	}
}

// readHostList records which peers the host list contains. If the list cannot be
// read, nothing changes.
func (m *Manager) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableRequestTimeout)
	defer cancel()
	listed, err := m.hosts.Hosts(ctx)
	if err != nil {
		return
	}
	states := map[string]HostState{}
	for _, h := range listed {
		states[h.Name] = h.State
	}
	now := m.timers.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peerByID {
		state, ok := states[p.member.Host]
		p.leaving = state == HostLeaving
		if ok {
			p.unlistedSince = time.Time{}
		} else {
			p.unlistedSince = firstNonZero(p.unlistedSince, now)
		}
	}
}

func shardNames(shards map[Shard]struct{}) []string {
	list := make([]string, 0, len(shards))
	for s := range shards {
		list = append(list, s.String())
	}
	slices.Sort(list)
	return list
}

func rejoinIncarnation(incarnation string, n int) string {
	return incarnation + "." + strconv.Itoa(n)
}
