package htgroup

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatTimeout is how long a host with a duty may be silent until it no longer counts as
	// running. It is three beats by way of the hub, so that lost datagrams or the loss of a
	// hub move nothing. The limit of a host that beats less often is as many of its beats.
	HeartbeatTimeout = missedBeats*HeartbeatInterval + beatMargin
	// HubTimeout is how long a hub may be silent before another host takes its place. It
	// is shorter than HeartbeatTimeout: while a hub is lost, the hosts of its failure domain
	// hear nothing of the others and must not take them for lost too.
	HubTimeout = 600 * time.Millisecond
	// deputies is the number of hosts of a failure domain, the hub included, that tell all
	// others there directly that they run. One of them becomes the hub if it is lost.
	deputies = 3
	// ReaderTimeout is the age of a reader's last answer from the store above which
	// other hosts take up reading: the length of a long poll, which answers even if
	// nothing changes, the time until the next beat tells of it, and a margin.
	ReaderTimeout = 1250 * time.Millisecond
)

// Member is one entry host.
type Member struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	// Capacity compares hosts by what they can do beside their calls: the smaller one of
	// the processor share in percent of a core and the link in Mbit/s.
	Capacity int `json:"capacity"`
}

// SameHost reports whether o is the same host at the same address.
func (m Member) SameHost(o Member) bool {
	return m.Name == o.Name && m.Address == o.Address && m.Domain == o.Domain
}

// peer is a member with what was last heard of it.
type peer struct {
	Member
	hash      uint64
	heard     time.Time     // its newest message, whichever way it came
	limit     time.Duration // of its silence
	direct    time.Time     // the last datagram that it sent to this host itself
	hubSeen   time.Time     // the last datagram that it sent here for its failure domain
	storeSeen time.Time     // its last answer from the store
	leaving   bool
}

// Group holds the members. It is not safe for concurrent use.
type Group struct {
	self  Member
	start time.Time
	peers map[netip.AddrPort]*peer
}

// New returns a Group of self alone.
func New(self Member, now time.Time) *Group {
	g := &Group{self: self, start: now, peers: map[netip.AddrPort]*peer{}}
	g.Add(self)
	return g
}

// Add makes a host known. It counts as running once it was heard.
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

// RecordMessage notes a message from a host. StoreAge is the age of its last answer from the
// store, or negative if it has none, and next is the time until its next beat. It reports
// whether the host counted as silent.
func (g *Group) RecordMessage(now time.Time, m Member, storeAge, next time.Duration, leaving bool) bool {
	g.Add(m)
	p := g.peers[m.Address]
	silent := !p.alive(now)
	p.heard = now
	p.limit = silenceLimit(next)
	p.Capacity = m.Capacity
	if m.Domain != "" {
		p.Domain = m.Domain
	}
	p.leaving = leaving
	if storeAge >= 0 {
		p.storeSeen = now.Add(-storeAge)
	}
	return silent
}

// RecordStoreResponse notes an answer of the store to this host.
func (g *Group) RecordStoreResponse(now time.Time) { g.peers[g.self.Address].storeSeen = now }

// RecordStoreRefusal notes that the store does not serve this host.
func (g *Group) RecordStoreRefusal() { g.peers[g.self.Address].storeSeen = time.Time{} }

// StoreAge returns the age of this host's last answer from the store, or a negative
// value if there is none.
func (g *Group) StoreAge(now time.Time) time.Duration {
	seen := g.peers[g.self.Address].storeSeen
	if seen.IsZero() {
		return -1
	}
	return now.Sub(seen)
}

// LastStoreContact returns the time of the last answer of the store to any running host.
func (g *Group) LastStoreContact(now time.Time) time.Time {
	var last time.Time
	for _, p := range g.peers {
		if (p.Address == g.self.Address || p.alive(now)) && p.storeSeen.After(last) {
			last = p.storeSeen
		}
	}
	return last
}

func (p *peer) alive(now time.Time) bool {
	return recent(now, p.heard, p.limit)
}

// running lists the hosts that hold duties, this one included.
func (g *Group) running(now time.Time) []*peer {
	list := make([]*peer, 0, len(g.peers))
	for _, p := range g.peers {
		if p.Address == g.self.Address || (p.alive(now) && !p.leaving) {
			list = append(list, p)
		}
	}
	return list
}

// Size returns the number of running hosts.
func (g *Group) Size(now time.Time) int { return len(g.running(now)) }

// Others returns the members other than this host, running ones first. Quiet ones
// are those that were not heard within their silence limit.
func (g *Group) Others(now time.Time) (running, quiet []Member) {
	for _, p := range g.peers {
		switch {
		case p.Address == g.self.Address:
		case p.alive(now):
			running = append(running, p.Member)
		default:
			quiet = append(quiet, p.Member)
		}
	}
	slices.SortFunc(running, compareMembers)
	slices.SortFunc(quiet, compareMembers)
	return running, quiet
}

// DomainPeers returns the running members in the failure domain of this host.
func (g *Group) DomainPeers(now time.Time) []Member {
	var near []Member
	for _, p := range g.peers {
		if p.Address != g.self.Address && p.Domain == g.self.Domain && p.alive(now) {
			near = append(near, p.Member)
		}
	}
	slices.SortFunc(near, compareMembers)
	return near
}

// RecordDatagram notes a datagram that a host sent to this one itself. ForDomain says that it is
// the hub of another failure domain and passes on what was told there.
func (g *Group) RecordDatagram(now time.Time, from netip.AddrPort, forDomain bool) {
	p := g.peers[from]
	if p == nil {
		return
	}
	p.direct = now
	if forDomain {
		p.hubSeen = now
	}
}

// Hubs returns the host of each failure domain that passes on the messages of its
// domain: own is that of this host's domain, which may be this host itself, and far are
// those of the others. Hosts that disagree on a hub do no harm, since each host that is
// asked to pass messages on does so.
func (g *Group) Hubs(now time.Time) (own Member, far []Member) {
	self := g.peers[g.self.Address]
	hub := self
	best := map[string]*peer{}
	for _, p := range g.peers {
		switch {
		case p == self || p.leaving:
		case p.Domain == g.self.Domain:
			if recent(now, p.direct, HubTimeout) && p.betterHub(hub) {
				hub = p
			}
		case p.alive(now):
			if b := best[p.Domain]; b == nil || p.betterFarHub(now, b) {
				best[p.Domain] = p
			}
		}
	}
	for _, p := range best {
		far = append(far, p.Member)
	}
	slices.SortFunc(far, compareMembers)
	return hub.Member, far
}

// HubCandidate reports whether this host is the hub of its failure domain or may soon become it.
func (g *Group) HubCandidate(now time.Time) bool {
	self := g.peers[g.self.Address]
	better := 0
	for _, p := range g.peers {
		if p != self && p.Domain == g.self.Domain && p.alive(now) && !p.leaving && p.betterHub(self) {
			better++
		}
	}
	return better < deputies
}

// Isolated reports whether more than half of the known hosts are silent, so that it is
// rather this one that was cut off.
func (g *Group) Isolated(now time.Time) bool {
	return 2*len(g.running(now)) <= len(g.peers)
}

// betterHub reports whether p is to be the hub rather than o. A hub sends as many bytes as
// all hosts of its failure domain receive, so that the most capable ones come first.
func (p *peer) betterHub(o *peer) bool {
	if p.Capacity != o.Capacity {
		return p.Capacity > o.Capacity
	}
	return weight(p.hash, hubKey) > weight(o.hash, hubKey)
}

// betterFarHub reports whether p is to be taken for the hub of its failure domain rather
// than o: hosts that speak for it come first, then those that did not fall silent as a hub.
func (p *peer) betterFarHub(now time.Time, o *peer) bool {
	if a, b := p.farHubRank(now), o.farHubRank(now); a != b {
		return a < b
	}
	return p.betterHub(o)
}

func (p *peer) farHubRank(now time.Time) int {
	switch {
	case recent(now, p.hubSeen, HubTimeout):
		return 0
	case p.hubSeen.IsZero():
		return 1
	}
	return 2
}

// recent reports whether a time is at most limit ago.
func recent(now, at time.Time, limit time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < limit
}

func compareMembers(a, b Member) int { return a.Address.Compare(b.Address) }

// RemoveSilent forgets a host that was not heard for longer than limit, if it is not this
// one.
func (g *Group) RemoveSilent(now time.Time, limit time.Duration) []Member {
	var dropped []Member
	for a, p := range g.peers {
		if a != g.self.Address && now.Sub(later(p.heard, g.start)) > limit {
			dropped = append(dropped, p.Member)
			delete(g.peers, a)
		}
	}
	return dropped
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
