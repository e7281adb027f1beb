package htview

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Mode says what the host's right to serve rests on.
type Mode string

// The modes of a host.
const (
	ModeLeased Mode = "leased"  // the lease row was written lately
	ModeHeld   Mode = "held"    // the table service is out of reach, and holds extend the lease
	ModeCutOff Mode = "cut-off" // no valid lease
)

// Dump is the state of a Manager for the state dump.
type Dump struct {
	Self              Member      `json:"self"`
	View              View        `json:"view"`
	NewestView        uint64      `json:"newest-view"`
	SettledView       uint64      `json:"settled-view"`
	Mode              Mode        `json:"mode"`
	LeaseMS           int64       `json:"lease-ms"` // time left; negative when lapsed
	HoldMS            int64       `json:"hold-ms"`  // time left of the last hold given; 0 when none runs
	Peers             []PeerState `json:"peers"`
	Serving           []string    `json:"serving"`
	Pending           []string    `json:"pending"` // owned, not released by the predecessor yet
	RemovalUnresolved bool        `json:"view-change-in-doubt"`
	TableAgeMS        int64       `json:"table-age-ms"`
}

// PeerState is what this host knows of another one.
type PeerState struct {
	Member          Member    `json:"member"`
	LastHeard       time.Time `json:"last-heard"`
	AppliedRevision uint64    `json:"applied-revision"`
	View            uint64    `json:"view"`
	InView          bool      `json:"in-view"`
	Gone            bool      `json:"gone"`         // its process has ended
	LeaseExpired    bool      `json:"lapsed"`       // its lease row has not changed for the takeover delay
	Leaving         bool      `json:"leaving"`      // marked so in the host list
	HoldMS          int64     `json:"hold-left-ms"` // time left of the hold that it gave
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
		HoldMS: max(0, m.holdUntil.Sub(now).Milliseconds()),
		Peers:  peers, Serving: names(m.serving), Pending: names(m.pending),
		RemovalUnresolved: len(m.inDoubt) > 0, TableAgeMS: m.tableAgeLocked(now).Milliseconds(),
	}
}

func (m *Manager) modeLocked(now time.Time) Mode {
	switch {
	case now.Before(m.lease.tableEnd()):
		return ModeLeased
	case now.Before(m.lease.end()):
		return ModeHeld
	default:
		return ModeCutOff
	}
}

// PeerStates returns the state of each incarnation of other hosts that is in the
// view or was heard from, sorted by host and incarnation.
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
		Member: p.member, LastHeard: p.heard, AppliedRevision: p.applied, View: p.acted,
		InView:       slices.Contains(m.newest.Members, p.member),
		Gone:         !p.goneSince().IsZero(),
		LeaseExpired: !current || now.Sub(seen.since) >= m.cfg.TakeoverDelay,
		Leaving:      p.leaving,
		HoldMS:       max(0, p.hold.until.Sub(now).Milliseconds()),
	}
}

// readList notes which members the host list names. An unreadable list changes
// nothing.
func (m *Manager) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
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
			p.unlisted = time.Time{}
		} else {
			p.unlisted = firstSet(p.unlisted, now)
		}
	}
}

func names(shards map[Shard]struct{}) []string {
	list := make([]string, 0, len(shards))
	for s := range shards {
		list = append(list, s.String())
	}
	slices.Sort(list)
	return list
}

func rejoined(incarnation string, n int) string {
	return incarnation + "." + strconv.Itoa(n)
}
