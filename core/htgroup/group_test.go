package htgroup

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func member(n int, domain string) Member {
	return Member{
		Name:    fmt.Sprintf("host-%d", n),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7600),
		Domain:  domain,
	}
}

// groups returns the groups of n hosts in domains, after all have exchanged heartbeats.
func groups(n int, domains ...string) []*Group {
	list := make([]*Group, n)
	for i := range list {
		list[i] = New(member(i+1, domains[i%len(domains)]), start)
	}
	exchangeHeartbeats(list, start, nil)
	return list
}

// exchangeHeartbeats records a heartbeat of each host that is not down at all others that
// are not down.
func exchangeHeartbeats(list []*Group, now time.Time, down map[int]bool) {
	for i, g := range list {
		for j, o := range list {
			if i != j && !down[i] && !down[j] {
				g.RecordMessage(now, o.self, o.StoreAge(now), MinHeartbeatInterval, false)
				g.RecordDatagram(now, o.self.Address, false)
			}
		}
	}
}

// Guards against more senders to a cold upstream than its limit allows when hosts are lost
// and each host detects that at a different time.
func TestRankAllDoesNotChangeWithLosses(t *testing.T) {
	list := groups(8, "a", "b")
	before := make([]int, len(list))
	for i, g := range list {
		before[i] = g.RankAll(42)
	}
	now := start.Add(HeartbeatTimeout * 2)
	exchangeHeartbeats(list, now, map[int]bool{1: true, 2: true})
	seenRanks := map[int]bool{}
	for i, g := range list {
		if g.RankAll(42) != before[i] {
			t.Errorf("rank of host %d changed from %d to %d", i, before[i], g.RankAll(42))
		}
		seenRanks[before[i]] = true
	}
	if len(seenRanks) != len(list) {
		t.Errorf("ranks are not distinct: %v", before)
	}
}

// countReaders returns the number of hosts that are not down and would read the store.
func countReaders(list []*Group, now time.Time, down map[int]bool) int {
	n := 0
	for i, g := range list {
		if reads, _ := g.ReadsStore(now); reads && !down[i] {
			n++
		}
	}
	return n
}

// Guards against all hosts reading the store, and against no host reading it after the
// readers are cut off from it.
func TestStoreReaders(t *testing.T) {
	list := groups(9, "a", "b", "c")
	now := start
	step := func(served func(i int) bool) {
		now = now.Add(20 * time.Millisecond)
		for i, g := range list {
			if reads, _ := g.ReadsStore(now); reads && served(i) {
				g.RecordStoreResponse(now)
			}
		}
		exchangeHeartbeats(list, now, nil)
	}
	for range 50 {
		step(func(int) bool { return true })
	}
	if n := countReaders(list, now, nil); n != readers {
		t.Fatalf("%d hosts read, want %d", n, readers)
	}
	cut := map[int]bool{}
	for i, g := range list {
		if reads, _ := g.ReadsStore(now); reads {
			cut[i] = true
		}
	}
	for elapsed := time.Duration(0); elapsed < ReaderTimeout+400*time.Millisecond; elapsed += 20 * time.Millisecond {
		step(func(i int) bool { return !cut[i] })
	}
	served := 0
	for i, g := range list {
		if age := g.StoreAge(now); !cut[i] && age >= 0 && age < ReaderTimeout {
			served++
		}
	}
	if served < readers || served > readers+1 {
		t.Errorf("%d hosts that the store serves started reading, want about %d", served, readers)
	}
}

// Guards against failure domains without a hub, against hosts that disagree on it, and
// against a lost hub that is kept until its whole failure domain counts as lost.
func TestHubs(t *testing.T) {
	list := groups(9, "a", "b", "c")
	hubs := func(now time.Time, down map[int]bool) map[string]Member {
		hubByDomain := map[string]Member{}
		for i, g := range list {
			if down[i] {
				continue
			}
			own, remote := g.Hubs(now)
			for _, h := range append(remote, own) {
				if known, ok := hubByDomain[h.Domain]; ok && known != h {
					t.Errorf("%s uses %s as the hub of %s, others use %s", g.self.Name, h.Name, h.Domain, known.Name)
				}
				hubByDomain[h.Domain] = h
			}
			if len(remote) != 2 || own.Domain != g.self.Domain {
				t.Errorf("%s has the hub %v and the remote hubs %v", g.self.Name, own, remote)
			}
		}
		return hubByDomain
	}
	first := hubs(start, nil)
	down := map[int]bool{}
	for i, g := range list {
		if g.self == first["a"] {
			down[i] = true
		}
	}
	now := start
	for now.Sub(start) < HeartbeatTimeout { // hosts of other domains detect the loss last
		now = now.Add(250 * time.Millisecond)
		exchangeHeartbeats(list, now, down)
	}
	if HubTimeout >= HeartbeatTimeout {
		t.Error("a lost hub is kept as long as a silent host, or longer")
	}
	if second := hubs(now, down); second["a"] == first["a"] || second["b"] != first["b"] {
		t.Errorf("hubs were %v and are %v", first, second)
	}
}

// Guards against a hub with a slow link or little CPU time, which would delay the messages
// and the calls of its whole failure domain.
func TestHubIsTheMostCapableHost(t *testing.T) {
	list := groups(6, "a")
	for i, g := range list {
		mostCapable := list[3].self
		mostCapable.Capacity = 80
		if i != 3 {
			g.RecordMessage(start, mostCapable, -1, MinHeartbeatInterval, false)
			g.RecordDatagram(start, mostCapable.Address, false)
		} else {
			g.peers[g.self.Address].Capacity = mostCapable.Capacity
		}
		if hub, _ := g.Hubs(start); hub.Address != mostCapable.Address {
			t.Errorf("%s uses %s as the hub", g.self.Name, hub.Name)
		}
	}
}

// Guards against a failure domain that receives nothing from the others after the loss of
// its hub: they must send to the host that now sends as its hub.
func TestRemoteHubFollowsDatagrams(t *testing.T) {
	list := groups(6, "a", "b")
	g := list[0]
	_, remote := g.Hubs(start)
	var other Member
	for _, o := range list {
		if o.self.Domain == "b" && o.self != remote[0] {
			other = o.self
		}
	}
	g.RecordDatagram(start, remote[0].Address, true)
	now := start.Add(HubTimeout - 100*time.Millisecond)
	exchangeHeartbeats(list, now, nil)
	g.RecordDatagram(now, other.Address, true)
	now = now.Add(200 * time.Millisecond)
	if _, remote := g.Hubs(now); remote[0] != other {
		t.Errorf("uses %s as the hub of b, want %s", remote[0].Name, other.Name)
	}
}

// Guards against datagrams from every host to every other: only a few hosts of a failure
// domain may send heartbeats directly to all others there.
func TestHubCandidates(t *testing.T) {
	list := groups(40, "a", "b")
	count := map[string]int{}
	for _, g := range list {
		if g.HubCandidate(start) {
			count[g.self.Domain]++
		}
	}
	if count["a"] != hubCandidates || count["b"] != hubCandidates {
		t.Errorf("hub candidates are %v, want %d in each failure domain", count, hubCandidates)
	}
}

// Guards against a host that was cut off and does not detect it, so that it waits for the
// others to contact it.
func TestIsolated(t *testing.T) {
	list := groups(9, "a", "b", "c")
	now := start.Add(HeartbeatTimeout)
	down := map[int]bool{}
	for i := 3; i < 9; i++ {
		down[i] = true
	}
	exchangeHeartbeats(list, now, down)
	if !list[0].Isolated(now) || list[0].Isolated(start) {
		t.Error("a host that receives heartbeats from a third of the hosts is not isolated, or was isolated before")
	}
}

// Guards against a reader with a slow link, since the other hosts get the rows from it.
func TestCapableHostsReadFirst(t *testing.T) {
	list := groups(9, "a", "b", "c")
	for _, g := range list {
		for i, o := range list {
			m := o.self
			m.Capacity = 10
			if i == 4 {
				m.Capacity = 80
			}
			if g != o {
				g.RecordMessage(start, m, -1, MinHeartbeatInterval, false)
			} else {
				g.peers[m.Address].Capacity = m.Capacity
			}
		}
	}
	for i, g := range list {
		if _, rank := g.ReadsStore(start); (rank == 0) != (i == 4) {
			t.Errorf("host %d has rank %d", i, rank)
		}
	}
}

// Guards against heartbeats that exceed the bandwidth for control traffic at the design
// size, and against late detection of the loss of a host with a role in a large group.
func TestHeartbeatsStayWithinRate(t *testing.T) {
	const controlRate = 4 << 10 // bytes per second of control traffic that each host may receive
	tests := []struct{ hosts, domains int }{
		{3, 3},
		{30, 3},
		{123, 4},
		{407, 3},
		{407, 18}, // the design size
	}
	for _, tt := range tests {
		n := tt.hosts
		list := make([]*Group, n)
		for i := range list {
			m := member(i%250+1, fmt.Sprintf("domain-%d", i%tt.domains))
			m.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7600)
			list[i] = New(m, start)
		}
		list[n-1].RecordStoreResponse(start)
		exchangeHeartbeats(list, start, nil)
		bytes, hubs := 0.0, map[netip.AddrPort]bool{}
		for _, g := range list {
			hub, _ := g.Hubs(start)
			hubs[hub.Address] = true
			interval := g.HeartbeatInterval(start)
			bytes += HeartbeatSize / interval.Seconds()
			if hasRole := hub == g.self || g == list[n-1]; hasRole && interval != MinHeartbeatInterval {
				t.Errorf("%d hosts: one with a role sends a heartbeat every %v", n, interval)
			}
			if interval > maxHeartbeatInterval || interval%MinHeartbeatInterval != 0 || (n <= 30 && interval != MinHeartbeatInterval) {
				t.Errorf("%d hosts: one sends a heartbeat every %v", n, interval)
			}
		}
		if bytes > controlRate {
			t.Errorf("%d hosts: each receives heartbeats of %.0f bytes per second, want at most %d", n, bytes, controlRate)
		}
		if len(hubs) != tt.domains {
			t.Errorf("%d hosts: hubs are %v", n, hubs)
		}
	}
}

// Guards against hosts that time out between two of their heartbeats, and against roles of
// a lost host that no other host takes over.
func TestTimeoutFollowsInterval(t *testing.T) {
	g, slow, fast := New(member(1, "a"), start), member(2, "a"), member(3, "a")
	g.RecordMessage(start, slow, -1, 4*time.Second, false)
	g.RecordMessage(start, fast, -1, 0, false)
	tests := []struct {
		after   time.Duration
		running int
	}{
		{HeartbeatTimeout - time.Millisecond, 3},
		{HeartbeatTimeout, 2},
		{3*4*time.Second + heartbeatMargin - time.Millisecond, 2},
		{3*4*time.Second + heartbeatMargin, 1},
	}
	for _, tt := range tests {
		if got := g.Size(start.Add(tt.after)); got != tt.running {
			t.Errorf("after %v, %d hosts are running, want %d", tt.after, got, tt.running)
		}
	}
}
