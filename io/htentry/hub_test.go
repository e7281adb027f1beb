package htentry

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htroute"
	"hawthornturn/core/httime"
	"hawthornturn/io/htgossip"
)

var testStart = time.Unix(1000, 0)

func testMember(n byte, capacity int) htgroup.Member {
	return htgroup.Member{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7600), Domain: "a", Capacity: capacity}
}

// newTestEntry returns an Entry without sockets that has heard of the members.
func newTestEntry(self htgroup.Member, others ...htgroup.Member) *Entry {
	e := &Entry{
		settings: Settings{Self: self}, timers: httime.New(), unapplied: make(chan struct{}, 1), group: htgroup.New(self, testStart), mirror: htmirror.New(),
		bundles: make(chan htgossip.Message, maxMessages), metrics: newMetrics(),
	}
	e.mirror.Apply(testStart, htmirror.Delta{Version: 3, Rows: []htmirror.Row{{Key: "config", Version: 3}}})
	for _, m := range others {
		e.group.RecordMessage(testStart, m, -1, htgroup.HeartbeatInterval, false)
		e.group.RecordDatagram(testStart, m.Address, false)
	}
	return e
}

// Guards against a configuration that is not in force in time because all hosts of a
// failure domain fetch it from one with a slow link.
func TestRowsAreFetchedFromTheHub(t *testing.T) {
	self, hub, weak := testMember(1, 10), testMember(2, 80), testMember(3, 10)
	tests := []struct {
		name         string
		self         htgroup.Member
		origin, from netip.AddrPort
		later        time.Duration // when a second beat comes
		first, then  bool
	}{
		{"the hub tells", self, hub.Address, hub.Address, 10 * time.Millisecond, true, true},
		{"a weak host tells", self, weak.Address, weak.Address, 10 * time.Millisecond, false, false},
		{"the hub passes on", self, weak.Address, hub.Address, 10 * time.Millisecond, false, false},
		{"the hub does not get the rows", self, weak.Address, hub.Address, passDelay + 10*time.Millisecond, false, true},
		{"the hub itself", hub, weak.Address, weak.Address, 10 * time.Millisecond, true, true},
	}
	for _, tt := range tests {
		e := newTestEntry(tt.self, self, hub, weak)
		first := e.fetchNow(testStart, tt.origin, tt.from)
		then := e.fetchNow(testStart.Add(tt.later), tt.origin, tt.from)
		if first != tt.first || then != tt.then {
			t.Errorf("%s: fetches %t and %t, want %t and %t", tt.name, first, then, tt.first, tt.then)
		}
	}
}

// Guards against news that wait as long as beats, and against a datagram for each beat.
func TestHubGathersMessages(t *testing.T) {
	beat := htgossip.Message{Status: &htgossip.Status{Versions: htmirror.Versions{3}}}
	changed := htgossip.Message{Status: &htgossip.Status{Versions: htmirror.Versions{4}}}
	fault := htgossip.Message{Faults: []htgossip.Fault{{Percent: 100}}}
	tests := []struct {
		name     string
		messages []htgossip.Message
		most     time.Duration
		least    time.Duration
	}{
		{"beats", []htgossip.Message{beat, beat}, beatDelay, beatDelay},
		{"a fault", []htgossip.Message{fault}, hubDelay, 0},
		{"a fault after a beat", []htgossip.Message{beat, fault}, hubDelay, 0},
		{"changed rows", []htgossip.Message{beat, changed}, hubDelay, 0},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			e := newTestEntry(testMember(1, 10))
			e.passed = htmirror.Versions{3}
			for _, m := range tt.messages {
				e.bundle(m)
			}
			begun := time.Now()
			got, err := e.gatherMessages(t.Context())
			if took := time.Since(begun); err != nil || len(got) != len(tt.messages) || took > tt.most || took < tt.least {
				t.Errorf("%s: %d messages after %v, error %v", tt.name, len(got), took, err)
			}
		})
	}
}

// Guards against copies of a request that crash upstreams through other hosts until the
// next beat tells of the first crash.
func TestCrashIsToldAtOnce(t *testing.T) {
	e := newTestEntry(testMember(1, 10))
	e.changes = make(chan change, maxChanges)
	count := htroute.CrashCount{Fingerprint: "f", Reporter: "r", Count: 1, Last: testStart}
	e.Crashed(count)
	select {
	case c := <-e.changes:
		m := e.gather(c)
		if len(m.Crashes) != 1 || m.Crashes[0] != count || len(m.Gone) != 0 || !e.hasNews(&m) {
			t.Errorf("the others are told %+v", m)
		}
	default:
		t.Error("the others are not told of a crash")
	}
}

// Guards against beats that are larger than the size by which hosts choose how often they
// beat.
func TestBeatSize(t *testing.T) {
	e := newTestEntry(testMember(1, 10))
	e.settings.Self.Domain = "domain-a"
	beat := htgossip.Message{Origin: 1<<32 - 1, Incarnation: 1<<32 - 1, Sequence: 1 << 20, Status: &htgossip.Status{
		Domain: e.settings.Self.Domain, Versions: htmirror.Versions{1 << 20, 1 << 20}, StoreAgeMS: -1, Capacity: 100, NextHeartbeatMS: 10_000,
	}}
	size := func(n int) int {
		data, err := (&htgossip.Datagram{Scope: htgossip.ScopeDomain, Messages: slices.Repeat([]htgossip.Message{beat}, n)}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	if got := size(bundleSize) - size(bundleSize-1); got > htgroup.HeartbeatSize {
		t.Errorf("a beat takes %d bytes, want at most %d", got, htgroup.HeartbeatSize)
	}
}
