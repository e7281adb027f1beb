package htview

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornturn/core/httime"
)

func member(name string) Member {
	return Member{Host: name, Incarnation: name + "1", Address: name}
}

// owned returns a key partition with the given owner in each of the views.
func owned(t *testing.T, views []View, owners ...string) Shard {
	t.Helper()
	for n := range 100000 {
		s := Shard{Partition: n} // rendezvous hashing does not limit the number
		match := true
		for i, v := range views {
			owner, _ := v.Owner(s)
			match = match && owner.Host == owners[i]
		}
		if match {
			return s
		}
	}
	t.Fatal("no such partition")
	return Shard{}
}

// managerIn returns a Manager of host b that acts under the view with the number.
func managerIn(views []View, number uint64) *Manager {
	m := New(Config{Self: member("b")}, nil, nil, nil, nil, nil, httime.New())
	for _, v := range views {
		m.recordLocked(v)
	}
	m.view, m.acted, m.joinedAt = m.history[number], number, 1
	return m
}

// viewsOf returns views numbered from 1, with one member for each letter.
func viewsOf(hosts ...string) []View {
	var views []View
	for i, names := range hosts {
		v := View{Number: uint64(i + 1)}
		for _, name := range names {
			v.Members = append(v.Members, member(string(name)))
		}
		views = append(views, v)
	}
	return views
}

// TestClear guards against a shard that is started while another host may serve it.
func TestClear(t *testing.T) {
	for _, tt := range []struct {
		name    string
		views   []View
		owners  []string
		under   uint64 // view that host b acts under
		acted   map[string]uint64
		settled uint64
		unknown uint64 // a view that b does not know
		want    bool
	}{
		{"the owner has moved on", viewsOf("ac", "abc"), []string{"a", "b"}, 2, map[string]uint64{"a": 2, "c": 1}, 2, 0, true},
		{"the owner has not moved on", viewsOf("ac", "abc"), []string{"a", "b"}, 2, map[string]uint64{"a": 1, "c": 2}, 2, 0, false},
		{"the owner has not been heard of", viewsOf("ac", "abc"), []string{"a", "b"}, 2, map[string]uint64{"c": 2}, 2, 0, false},
		{"an owner between has not moved on", viewsOf("ac", "acd", "abcd"), []string{"a", "d", "b"}, 3, map[string]uint64{"a": 3, "c": 3, "d": 2}, 3, 0, false},
		{"a view between is not known", viewsOf("ac", "acd", "abcd"), []string{"a", "a", "b"}, 3, map[string]uint64{"a": 3, "c": 3, "d": 2}, 3, 2, false},
		{"the owner has skipped this view", viewsOf("ac", "abc", "abcd"), []string{"a", "b", "d"}, 2, map[string]uint64{"a": 3, "c": 2}, 2, 0, false},
		{"the owner has left and may still serve", viewsOf("ac", "abc", "ab"), []string{"c", "c", "b"}, 3, map[string]uint64{"a": 3, "c": 2}, 2, 0, false},
		{"the owner has left and stopped", viewsOf("ac", "abc", "ab"), []string{"c", "c", "b"}, 3, map[string]uint64{"a": 3, "c": 2}, 3, 0, true},
		{"another host has left", viewsOf("ac", "abc", "ab"), []string{"a", "b", "b"}, 3, map[string]uint64{"a": 3, "c": 2}, 2, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := managerIn(tt.views, tt.under)
			s := owned(t, tt.views, tt.owners...)
			delete(m.history, tt.unknown)
			m.settled = tt.settled
			for name, acted := range tt.acted {
				m.peerLocked(member(name)).acted = acted
			}
			if got := m.clearLocked(s); got != tt.want {
				t.Fatalf("clear is %v, want %v", got, tt.want)
			}
		})
	}
}

// TestUsable guards against a state that is installed although another host may have
// served the shard since it was collected.
func TestUsable(t *testing.T) {
	for _, tt := range []struct {
		name   string
		views  []View
		owners []string
		since  int
		final  bool
		want   bool
	}{
		{"owned since", viewsOf("a", "ab", "abc"), []string{"a", "b", "b"}, 2, false, true},
		{"another owner between", viewsOf("b", "bc", "b"), []string{"b", "c", "b"}, 1, false, false},
		{"sender stopped in the view", viewsOf("ab", "abc", "bc"), []string{"a", "a", "b"}, 2, true, true},
		{"sender went on in the view", viewsOf("ab", "abc", "bc"), []string{"a", "a", "b"}, 2, false, false},
		{"view not known", viewsOf("b", "ab", "abc"), []string{"b", "b", "b"}, 0, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := managerIn(tt.views, 3)
			r := Release{View: m.history[uint64(tt.since)], From: member("a"), SenderStopped: tt.final}
			if got := m.usableLocked(owned(t, tt.views, tt.owners...), r, 3); got != tt.want {
				t.Fatalf("usable is %v, want %v", got, tt.want)
			}
		})
	}
}

// TestReleaseForAnother guards against a process that takes a release meant for an
// earlier one at its address, and passes it on after it has joined.
func TestReleaseForAnother(t *testing.T) {
	old := View{Number: 3, Members: []Member{{Host: "b", Incarnation: "b0", Address: "b"}}}
	m := New(Config{Self: member("b")}, nil, nil, nil, nil, nil, httime.New())
	err := m.HandleRelease(Release{From: member("a"), View: old, Shard: Shard{Partition: 1}})
	if !errors.Is(err, ErrNotOwner) || len(m.tokens) != 0 {
		t.Fatalf("error %v with %d states kept", err, len(m.tokens))
	}
}

// TestNoHoldInDoubt guards against a hold that is given while a removal by the same
// host may still take effect, and against one for a host that was removed.
func TestNoHoldInDoubt(t *testing.T) {
	v := View{Number: 1, Members: []Member{member("a"), member("b")}}
	now := time.Now()
	for _, tt := range []struct {
		inDoubt []*removal
		to      string
		reached time.Time
		want    bool
	}{
		{nil, "a", now.Add(-3 * time.Second), true},
		{nil, "a", now.Add(-time.Second), false},
		{nil, "x", now.Add(-3 * time.Second), false},
		{[]*removal{{view: 4}}, "a", now.Add(-3 * time.Second), false},
	} {
		t.Run(fmt.Sprint(tt.want, tt.to, len(tt.inDoubt)), func(t *testing.T) {
			m := managerIn([]View{v}, 1)
			m.inDoubt, m.lease.reached = slices.Clone(tt.inDoubt), tt.reached
			if got := m.giveHoldLocked(now, member(tt.to)); got != tt.want {
				t.Fatalf("hold given: %v, want %v", got, tt.want)
			}
			if m.holdUntil.IsZero() == tt.want {
				t.Fatalf("the giver is bound until %v", m.holdUntil)
			}
		})
	}
}

// TestExtendNeedsOldReach guards against a hold of a member that reached the table
// after this host's lease ended: the view may have changed in between.
func TestExtendNeedsOldReach(t *testing.T) {
	v := View{Number: 1, Members: []Member{member("a"), member("b")}}
	now := time.Now()
	for _, tt := range []struct {
		reached time.Time
		want    bool
	}{{now.Add(-6 * time.Second), true}, {now.Add(-4 * time.Second), false}} {
		m := managerIn([]View{v}, 1)
		m.lease.written, m.lease.contact = now.Add(-10*time.Second), now.Add(-9*time.Second) // ended 5 s ago
		m.peerLocked(member("a")).hold = hold{until: now.Add(time.Second), reached: tt.reached}
		m.extendLocked(now)
		if got := !m.LeaseUntil(now).IsZero(); got != tt.want {
			t.Fatalf("lease extended: %v, want %v", got, tt.want)
		}
	}
}
