package htgroup

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatTimeout is how long a host with a role may be silent before it no longer counts
	// as running. It is three heartbeats through the hub, so that lost datagrams or the loss of
	// a hub reassign no roles. For a host with a longer interval, the timeout is the same
	// number of its own heartbeats.
	HeartbeatTimeout = missedHeartbeats*MinHeartbeatInterval + heartbeatMargin
	// HubTimeout is how long a hub may be silent before another host replaces it. It is
	// shorter than HeartbeatTimeout: after the loss of a hub, the hosts of its failure domain
	// do not receive the messages that it would have forwarded, and the senders of those
	// messages must not time out too.
	HubTimeout = 600 * time.Millisecond
	// hubCandidates is the number of hosts of a failure domain, including the hub, that send
	// heartbeats directly to all others there. One of them becomes the hub if the hub is lost.
	hubCandidates = 3
	// ReachTimeout is how long a hub, or a host of this one's failure domain, may be silent until
	// it counts as out of reach.
	ReachTimeout = 1500 * time.Millisecond
	// ReaderTimeout is the age of a reader's last response from the store above which other
	// hosts start reading. It covers the duration of a long poll, which returns even if
	// nothing has changed, the time until the next heartbeat reports the response, and a
	// margin.
	ReaderTimeout = 1250 * time.Millisecond
)

// Member is one entry host.
type Member struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	// Capacity ranks hosts by the resources available for work beside calls. It is the
	// smaller of the CPU share in percent of a core and the link bandwidth in Mbit/s.
	Capacity int `json:"capacity"`
}

// SameHost reports whether o has the same name, address and failure domain.
func (m Member) SameHost(o Member) bool {
	return m.Name == o.Name && m.Address == o.Address && m.Domain == o.Domain
}

// peer is a member with the times of its last messages.
type peer struct {
	Member
	hash              uint64
	lastMessage       time.Time     // its newest message, received directly or through a hub
	timeout           time.Duration // from lastMessage until it counts as silent
	lastDirect        time.Time     // the last datagram received from it directly
	lastHubDatagram   time.Time     // the last datagram received from it as the hub of its domain
	lastStoreResponse time.Time     // its last response from the store
	leaving           bool
}

// Group is the set of known hosts as seen by this one. It is not safe for concurrent use.
type Group struct {
	self  Member
	start time.Time
	peers map[netip.AddrPort]*peer
}

// New returns a Group that contains only self.
func New(self Member, now time.Time) *Group {
	g := &Group{self: self, start: now, peers: map[netip.AddrPort]*peer{}}
	g.Add(self)
	return g
}

// Add adds a host, or completes one that is known only by its address. A host counts as
// running once RecordMessage was called for it.
func (g *Group) Add(m Member) {
	if p := g.peers[m.Address]; p != nil {
		if p.Name == "" && m.Name != "" {
			p.Member = m
		}
		return
	}
	key := m.Address.Addr().String()
	g.peers[m.Address] = &peer{Member: m, hash: xxhash.Sum64String(key)}
}

// RecordMessage records a message from a host. The parameter storeAge is the age of its
// last response from the store, or negative if it has none, and next is the time until its
// next heartbeat. It reports whether the host counted as silent before.
func (g *Group) RecordMessage(now time.Time, m Member, storeAge, next time.Duration, leaving bool) bool {
	g.Add(m)
	p := g.peers[m.Address]
	silent := !p.alive(now)
	p.lastMessage = now
	p.timeout = timeoutFor(next)
	p.Capacity = m.Capacity
	if m.Domain != "" {
		p.Domain = m.Domain
	}
	p.leaving = leaving
	if storeAge >= 0 {
		p.lastStoreResponse = now.Add(-storeAge)
	}
	return silent
}

// RecordStoreResponse records a response of the store to this host.
func (g *Group) RecordStoreResponse(now time.Time) { g.peers[g.self.Address].lastStoreResponse = now }

// RecordStoreRefusal records that the store does not serve this host.
func (g *Group) RecordStoreRefusal() { g.peers[g.self.Address].lastStoreResponse = time.Time{} }

// StoreAge returns the age of this host's last response from the store, or a negative
// value if it has none.
func (g *Group) StoreAge(now time.Time) time.Duration {
	seen := g.peers[g.self.Address].lastStoreResponse
	if seen.IsZero() {
		return -1
	}
	return now.Sub(seen)
}

// LastStoreContact returns the time of the last response of the store to any running host,
// or zero if none has had one.
func (g *Group) LastStoreContact(now time.Time) time.Time {
	var last time.Time
	for _, p := range g.peers {
		if (p.Address == g.self.Address || p.alive(now)) && p.lastStoreResponse.After(last) {
			last = p.lastStoreResponse
		}
	}
	return last
}

func (p *peer) alive(now time.Time) bool {
	return within(now, p.lastMessage, p.timeout)
}

// running returns the hosts that can hold roles, including this one.
func (g *Group) running(now time.Time) []*peer {
	list := make([]*peer, 0, len(g.peers))
	for _, p := range g.peers {
		if p.Address == g.self.Address || (p.alive(now) && !p.leaving) {
			list = append(list, p)
		}
	}
	return list
}

// Size returns the number of running hosts, including this one.
func (g *Group) Size(now time.Time) int { return len(g.running(now)) }

// Others returns the running members other than this host, and the silent ones, from which
// no message was received within their timeout.
func (g *Group) Others(now time.Time) (running, silent []Member) {
	for _, p := range g.peers {
		switch {
		case p.Address == g.self.Address:
		case p.alive(now):
			running = append(running, p.Member)
		default:
			silent = append(silent, p.Member)
		}
	}
	slices.SortFunc(running, compareMembers)
	slices.SortFunc(silent, compareMembers)
	return running, silent
}

// DomainPeers returns the other running members in the failure domain of this host.
func (g *Group) DomainPeers(now time.Time) []Member {
	var members []Member
	for _, p := range g.peers {
		if p.Address != g.self.Address && p.Domain == g.self.Domain && p.alive(now) {
			members = append(members, p.Member)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// RecordDatagram records a datagram that this host received directly from another one. With
// forDomain, the sender is the hub of another failure domain and forwards messages from there.
func (g *Group) RecordDatagram(now time.Time, from netip.AddrPort, forDomain bool) {
	p := g.peers[from]
	if p == nil {
		return
	}
	p.lastDirect = now
	if forDomain {
		p.lastHubDatagram = now
	}
}

// Hubs returns for each failure domain the host that forwards its messages: own is the hub of
// this host's domain, which may be this host itself, and remote are those of the other
// domains. It is harmless if hosts disagree on a hub, since every host forwards the messages
// of a datagram whose scope requires it.
func (g *Group) Hubs(now time.Time) (own Member, remote []Member) {
	self := g.peers[g.self.Address]
	hub := self
	best := map[string]*peer{}
	for _, p := range g.peers {
		switch {
		case p == self || p.leaving:
		case p.Domain == g.self.Domain:
			if within(now, p.lastDirect, HubTimeout) && p.betterHub(hub) {
				hub = p
			}
		case p.alive(now):
			if b := best[p.Domain]; b == nil || p.betterRemoteHub(now, b) {
				best[p.Domain] = p
			}
		}
	}
	for _, p := range best {
		remote = append(remote, p.Member)
	}
	slices.SortFunc(remote, compareMembers)
	return hub.Member, remote
}

// HubCandidate reports whether this host is among the first hubCandidates hosts of its
// failure domain, which are the hub and the hosts that replace it if it is lost.
func (g *Group) HubCandidate(now time.Time) bool {
	self := g.peers[g.self.Address]
	better := 0
	for _, p := range g.peers {
		if p != self && p.Domain == g.self.Domain && p.alive(now) && !p.leaving && p.betterHub(self) {
			better++
		}
	}
	return better < hubCandidates
}

// HubCandidates returns the hosts of all failure domains, other than this one, that are the hub
// of their domain or may soon replace it.
func (g *Group) HubCandidates(now time.Time) []Member {
	byDomain := map[string][]*peer{}
	for _, p := range g.running(now) {
		byDomain[p.Domain] = append(byDomain[p.Domain], p)
	}
	var members []Member
	for _, peers := range byDomain {
		slices.SortFunc(peers, func(a, b *peer) int {
			if a.betterHub(b) {
				return -1
			}
			return 1
		})
		for _, p := range peers[:min(hubCandidates, len(peers))] {
			if p.Address != g.self.Address {
				members = append(members, p.Member)
			}
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// HubAfter returns the hub of this host's failure domain, given the one of before. A host that
// is no hub candidate keeps the one of before until ReachTimeout, since it is more likely that
// heartbeats were lost than that it has become the hub.
func (g *Group) HubAfter(now time.Time, before Member) Member {
	hub, _ := g.Hubs(now)
	if hub.Address != g.self.Address || g.HubCandidate(now) {
		return hub
	}
	if p := g.peers[before.Address]; p != nil && within(now, p.lastDirect, ReachTimeout) {
		return p.Member
	}
	return hub
}

// Reach returns the part of the known hosts that this one, as the hub of its failure domain,
// hears of: the running hosts of the failure domains of which it heard of late, by whatever way.
// The function also reports whether a domain was heard otherwise.
func (g *Group) Reach(now time.Time, also func(domain string) bool) float64 {
	heard := map[string]bool{}
	for _, p := range g.peers {
		if _, known := heard[p.Domain]; !known {
			heard[p.Domain] = also(p.Domain)
		}
		if within(now, p.lastMessage, ReachTimeout) || within(now, p.lastDirect, ReachTimeout) {
			heard[p.Domain] = true
		}
	}
	n := 0
	for _, p := range g.peers {
		if p.Address == g.self.Address || heard[p.Domain] && p.alive(now) {
			n++
		}
	}
	return float64(n) / float64(len(g.peers))
}

// Isolated reports whether at most half of the known hosts, including this one, are running.
// It is then more likely that this host is cut off than that the others have failed.
func (g *Group) Isolated(now time.Time) bool {
	return 2*len(g.running(now)) <= len(g.peers)
}

// betterHub reports whether p ranks before o as a hub. A hub sends as many bytes as all
// hosts of its failure domain receive, so hosts of the highest capacity come first.
func (p *peer) betterHub(o *peer) bool {
	if p.Capacity != o.Capacity {
		return p.Capacity > o.Capacity
	}
	return weight(p.hash, hubKey) > weight(o.hash, hubKey)
}

// betterRemoteHub reports whether p is to be used as the hub of its failure domain rather
// than o. Hosts that currently send as its hub come first, then those that never did, and
// last those that have stopped.
func (p *peer) betterRemoteHub(now time.Time, o *peer) bool {
	if a, b := p.remoteHubRank(now), o.remoteHubRank(now); a != b {
		return a < b
	}
	return p.betterHub(o)
}

// remoteHubRank returns the order of preference in betterRemoteHub; 0 is the best.
func (p *peer) remoteHubRank(now time.Time) int {
	switch {
	case within(now, p.lastHubDatagram, HubTimeout):
		return 0
	case p.lastHubDatagram.IsZero():
		return 1
	}
	return 2
}

// within reports whether at is set and less than limit before now.
func within(now, at time.Time, limit time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < limit
}

func compareMembers(a, b Member) int { return a.Address.Compare(b.Address) }

// RemoveSilent removes the hosts, other than this one, from which no message was received
// for longer than timeout, and returns them.
func (g *Group) RemoveSilent(now time.Time, timeout time.Duration) []Member {
	var removed []Member
	for a, p := range g.peers {
		if a != g.self.Address && now.Sub(later(p.lastMessage, g.start)) > timeout {
			removed = append(removed, p.Member)
			delete(g.peers, a)
		}
	}
	return removed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
