package htstand

import (
	"slices"
	"testing"
	"time"
)

// Guards against a host list that shows a change before its lag has passed or never
// shows it.
func TestHostListLag(t *testing.T) {
	start := time.Unix(1000, 0)
	var l hostList
	put := func(after time.Duration, h Host) {
		l.update(start.Add(after), func(hosts map[string]Host) { hosts[h.Name] = h })
	}
	put(0, Host{Name: "a", State: HostLive})
	put(time.Second, Host{Name: "b", State: HostLive})
	put(2*time.Second, Host{Name: "a", State: HostLeaving})
	l.update(start.Add(3*time.Second), func(hosts map[string]Host) { delete(hosts, "a") })
	tests := []struct {
		at   time.Duration
		want []Host
	}{
		{-time.Second, []Host{}},
		{0, []Host{{Name: "a", State: HostLive}}},
		{1500 * time.Millisecond, []Host{{Name: "a", State: HostLive}, {Name: "b", State: HostLive}}},
		{2 * time.Second, []Host{{Name: "a", State: HostLeaving}, {Name: "b", State: HostLive}}},
		{time.Hour, []Host{{Name: "b", State: HostLive}}},
	}
	for _, tt := range tests {
		if got := l.versionAt(start.Add(tt.at)); !slices.Equal(got, tt.want) {
			t.Errorf("at %s: %v, want %v", tt.at, got, tt.want)
		}
	}
}

// Guards against host list faults that leave omitted hosts in the list or list a
// replaced host twice.
func TestHostListFaults(t *testing.T) {
	f := PlatformFaults{HostListOmit: []string{"b"}, HostListAdd: []Host{{Name: "a", State: HostLeaving}, {Name: "x", State: HostLive}}}
	got := f.applyToHostList([]Host{{Name: "a", State: HostLive}, {Name: "b", State: HostLive}, {Name: "c", State: HostLive}})
	want := []Host{{Name: "c", State: HostLive}, {Name: "a", State: HostLeaving}, {Name: "x", State: HostLive}}
	if !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
