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

// groups returns the views of n hosts in domains that have all heard of each other.
func groups(n int, domains ...string) []*Group {
	list := make([]*Group, n)
	for i := range list {
		list[i] = New(member(i+1, domains[i%len(domains)]), start)
	}
	meet(list, start, nil)
	return list
}

// meet lets the hosts that are not down hear each other.
func meet(list []*Group, now time.Time, down map[int]bool) {
	for i, g := range list {
		for j, o := range list {
			if i != j && !down[i] && !down[j] {
				g.RecordMessage(now, o.self, o.StoreAge(now), HeartbeatInterval, false)
				g.RecordDatagram(now, o.self.Address, false)
			}
		}
	}
}

// Guards against more senders to a cold upstream than it bears when hosts are lost and
// each host counts others as lost at another time.
func TestRankAllDoesNotChangeWithLosses(t *testing.T) {
	list := groups(8, "a", "b")
	before := make([]int, len(list))
	for i, g := range list {
		before[i] = g.RankAll(42)
	}
	now := start.Add(HeartbeatTimeout * 2)
	meet(list, now, map[int]bool{1: true, 2: true})
	seen := map[int]bool{}
	for i, g := range list {
		if g.RankAll(42) != before[i] {
			t.Errorf("rank of host %d changed from %d to %d", i, before[i], g.RankAll(42))
		}
		seen[before[i]] = true
	}
	if len(seen) != len(list) {
		t.Errorf("ranks are %v", before)
	}
}

// readersOf counts the hosts that would read the store.
func readersOf(list []*Group, now time.Time, down map[int]bool) int {
	n := 0
	for i, g := range list {
		if reads, _ := g.ReadsStore(now); reads && !down[i] {
			n++
		}
	}
	return n
}

// Guards against all hosts reading the store, and against nobody reading it once the
// readers are cut off from it.
func TestReadersOfTheStore(t *testing.T) {
	list := groups(9, "a", "b", "c")
	now := start
	step := func(served func(i int) bool) {
		now = now.Add(20 * time.Millisecond)
		for i, g := range list {
			if reads, _ := g.ReadsStore(now); reads && served(i) {
				g.RecordStoreResponse(now)
			}
		}
		meet(list, now, nil)
	}
	for range 50 {
		step(func(int) bool { return true })
	}
	if n := readersOf(list, now, nil); n != readers {
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
		t.Errorf("%d hosts that the store serves took up reading, want about %d", served, readers)
	}
}

// Guards against failure domains without a hub, hosts that disagree on it, and a hub that
// is kept after its loss until its whole failure domain counts as lost.
func TestHubs(t *testing.T) {
	list := groups(9, "a", "b", "c")
	hubs := func(now time.Time, down map[int]bool) map[string]Member {
		agreed := map[string]Member{}
		for i, g := range list {
			if down[i] {
				continue
			}
			own, far := g.Hubs(now)
			for _, h := range append(far, own) {
				if known, ok := agreed[h.Domain]; ok && known != h {
					t.Errorf("%s takes %s for the hub of %s, others %s", g.self.Name, h.Name, h.Domain, known.Name)
				}
				agreed[h.Domain] = h
			}
			if len(far) != 2 || own.Domain != g.self.Domain {
				t.Errorf("%s has the hub %v and the far hubs %v", g.self.Name, own, far)
			}
		}
		return agreed
	}
	first := hubs(start, nil)
	down := map[int]bool{}
	for i, g := range list {
		if g.self == first["a"] {
			down[i] = true
		}
	}
	now := start
	for now.Sub(start) < HeartbeatTimeout { // far hosts notice it last
		now = now.Add(250 * time.Millisecond)
		meet(list, now, down)
	}
	if HubTimeout >= HeartbeatTimeout {
		t.Error("a lost hub is kept for longer than a silent host")
	}
	if second := hubs(now, down); second["a"] == first["a"] || second["b"] != first["b"] {
		t.Errorf("hubs were %v and are %v", first, second)
	}
}

// Guards against a hub with a slow link or little processor time, which delays the
// messages and the calls of its whole failure domain.
func TestHubIsTheMostCapableHost(t *testing.T) {
	list := groups(6, "a")
	for i, g := range list {
		strong := list[3].self
		strong.Capacity = 80
		if i != 3 {
			g.RecordMessage(start, strong, -1, HeartbeatInterval, false)
			g.RecordDatagram(start, strong.Address, false)
		} else {
			g.peers[g.self.Address].Capacity = strong.Capacity
		}
		if hub, _ := g.Hubs(start); hub.Address != strong.Address {
			t.Errorf("%s takes %s for the hub", g.self.Name, hub.Name)
		}
	}
}

// Guards against a failure domain that hears nothing of the others after the loss of its
// hub: the others must send to the host that speaks for it now.
func TestFarHubFollowsTheSpeaker(t *testing.T) {
	list := groups(6, "a", "b")
	g := list[0]
	_, far := g.Hubs(start)
	var other Member
	for _, o := range list {
		if o.self.Domain == "b" && o.self != far[0] {
			other = o.self
		}
	}
	g.RecordDatagram(start, far[0].Address, true)
	now := start.Add(HubTimeout - 100*time.Millisecond)
	meet(list, now, nil)
	g.RecordDatagram(now, other.Address, true)
	now = now.Add(200 * time.Millisecond)
	if _, far := g.Hubs(now); far[0] != other {
		t.Errorf("takes %s for the hub of b, want %s", far[0].Name, other.Name)
	}
}

// Guards against datagrams from every host to every other: only a few hosts of a failure
// domain tell the others there directly that they run.
func TestFewDeputies(t *testing.T) {
	list := groups(40, "a", "b")
	count := map[string]int{}
	for _, g := range list {
		if g.HubCandidate(start) {
			count[g.self.Domain]++
		}
	}
	if count["a"] != deputies || count["b"] != deputies {
		t.Errorf("deputies are %v, want %d in each failure domain", count, deputies)
	}
}

// Guards against a host that was cut off and waits for others to find it again.
func TestAlone(t *testing.T) {
	list := groups(9, "a", "b", "c")
	now := start.Add(HeartbeatTimeout)
	down := map[int]bool{}
	for i := 3; i < 9; i++ {
		down[i] = true
	}
	meet(list, now, down)
	if !list[0].Isolated(now) || list[0].Isolated(start) {
		t.Error("a host that hears a third of the others does not take itself for cut off")
	}
}

// Guards against a reader with a slow link: the others get the rows from it.
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
				g.RecordMessage(start, m, -1, HeartbeatInterval, false)
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

// Guards against beats that take more of the network than control may, at the size to design
// for, and against duties whose holder is missed late where hosts are many.
func TestBeatsStayWithinTheirRate(t *testing.T) {
	const controlRate = 4 << 10 // bytes a second that control may take of each host
	tests := []struct{ hosts, domains int }{
		{3, 3},
		{30, 3},
		{123, 4},
		{407, 3},
		{407, 18}, // the size to design for
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
		meet(list, start, nil)
		bytes, hubs := 0.0, map[netip.AddrPort]bool{}
		for _, g := range list {
			hub, _ := g.Hubs(start)
			hubs[hub.Address] = true
			period := g.HeartbeatInterval(start)
			bytes += HeartbeatSize / period.Seconds()
			if duty := hub == g.self || g == list[n-1]; duty && period != HeartbeatInterval {
				t.Errorf("%d hosts: one with a duty beats every %v", n, period)
			}
			if period > maxBeatPeriod || period%HeartbeatInterval != 0 || (n <= 30 && period != HeartbeatInterval) {
				t.Errorf("%d hosts: one beats every %v", n, period)
			}
		}
		if bytes > controlRate {
			t.Errorf("%d hosts: each receives %.0f bytes of beats a second, want at most %d", n, bytes, controlRate)
		}
		if len(hubs) != tt.domains {
			t.Errorf("%d hosts: hubs are %v", n, hubs)
		}
	}
}

// Guards against hosts that count as lost between two of their beats, and against duties of a
// lost host that nobody takes up.
func TestSilenceFollowsTheBeats(t *testing.T) {
	g, slow, fast := New(member(1, "a"), start), member(2, "a"), member(3, "a")
	g.RecordMessage(start, slow, -1, 4*time.Second, false)
	g.RecordMessage(start, fast, -1, 0, false)
	tests := []struct {
		after   time.Duration
		running int
	}{
		{HeartbeatTimeout - time.Millisecond, 3},
		{HeartbeatTimeout, 2},
		{3*4*time.Second + beatMargin - time.Millisecond, 2},
		{3*4*time.Second + beatMargin, 1},
	}
	for _, tt := range tests {
		if got := g.Size(start.Add(tt.after)); got != tt.running {
			t.Errorf("after %v %d hosts run, want %d", tt.after, got, tt.running)
		}
	}
}
