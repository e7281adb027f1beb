package htgossip

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htselect"
)

// Guards against messages that mean something else to their receiver.
func TestDatagramKeepsItsMeaning(t *testing.T) {
	observation := htselect.Observation{
		Upstream: htcatalog.RefOf("u"), Speed: 400, Running: 2, Waiting: 1, Slots: 3,
		Cold: 1500 * time.Millisecond, ColdTold: true, Down: true, Ill: true,
	}
	sent := &Datagram{Scope: ScopeAll, Messages: []Message{{
		Origin: PeerOf(netip.MustParseAddr("10.1.2.3")), Incarnation: 7, Sequence: 9,
		Status:  &Status{Domain: "a", Versions: htmirror.Versions{3, 4}, Store: -1, Leaving: true},
		Reports: []Report{NewReport(observation, 40*time.Millisecond)},
		Counts:  []Count{NewCount(observation.Upstream, 5)},
		Faults:  []Fault{{Upstream: observation.Upstream, Percent: 40}},
	}}}
	data, err := sent.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("got %+v, sent %+v", got, sent)
	}
	m := got.Messages[0]
	if m.Reports[0].Observation() != observation || m.Reports[0].Age() != 40*time.Millisecond {
		t.Errorf("report is %+v", m.Reports[0])
	}
	if AddressOf(m.Origin).String() != "10.1.2.3" || m.Status.StoreAge() >= 0 {
		t.Errorf("origin is %v, store age %v", AddressOf(m.Origin), m.Status.StoreAge())
	}
}

// Guards against numbers that wrap around and make a full upstream look idle.
func TestReportClampsNumbers(t *testing.T) {
	r := NewReport(htselect.Observation{Running: 1 << 20, Waiting: -1, Cold: -time.Second}, time.Hour).Observation()
	if r.Running != 1<<16-1 || r.Waiting != 0 || r.Cold != 0 {
		t.Errorf("report is %+v", r)
	}
}

// FuzzDecode guards against datagrams that crash their receiver.
func FuzzDecode(f *testing.F) {
	valid, err := (&Datagram{Messages: []Message{{Status: &Status{}}}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xa1, 0x02, 0x81, 0xa1, 0x04, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		for _, m := range d.Messages {
			if m.Status != nil && (m.Status.Versions[0] < 0 || m.Status.Versions[1] < 0) {
				t.Error("an impossible version was accepted")
			}
		}
	})
}
