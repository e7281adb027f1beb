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

// shardOwnedBy returns a key partition that has the given owner in each of the views.
func shardOwnedBy(t *testing.T, views []View, owners ...string) Shard {
	t.Helper()
	for n := range 100000 {
		s := Shard{Partition: n} // Owner accepts any partition number, also above KeyPartitions
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

// newManagerAt returns a Manager of host b whose active view has the given number.
func newManagerAt(views []View, number uint64) *Manager {
	m := New(Config{Self: member("b")}, nil, nil, nil, nil, nil, httime.New())
	for _, v := range views {
		m.recordLocked(v)
	}
	m.view, m.announced, m.joinedAt = m.history[number], number, 1
	return m
}

// makeViews returns views numbered from 1, with one member for each letter.
func makeViews(hosts ...string) []View {
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

// TestSafeToServe guards against a shard that is installed while another host may still
// serve it.
func TestSafeToServe(t *testing.T) {
	for _, tt := range []struct {
		name       string
		views      []View
		owners     []string
		active     uint64 // number of the active view of host b
		activeView map[string]uint64
		settled    uint64
		unknown    uint64 // number of a view that host b does not know
		want       bool
	}{
		{"the owner has adopted the view", makeViews("ac", "abc"), []string{"a", "b"}, 2, map[string]uint64{"a": 2, "c": 1}, 2, 0, true},
		{"the owner has not adopted the view", makeViews("ac", "abc"), []string{"a", "b"}, 2, map[string]uint64{"a": 1, "c": 2}, 2, 0, false},
		{"nothing is known about the owner", makeViews("ac", "abc"), []string{"a", "b"}, 2, map[string]uint64{"c": 2}, 2, 0, false},
		{"an owner in between has not adopted the view", makeViews("ac", "acd", "abcd"), []string{"a", "d", "b"}, 3, map[string]uint64{"a": 3, "c": 3, "d": 2}, 3, 0, false},
		{"a view in between is not known", makeViews("ac", "acd", "abcd"), []string{"a", "a", "b"}, 3, map[string]uint64{"a": 3, "c": 3, "d": 2}, 3, 2, false},
		{"the owner has skipped this view", makeViews("ac", "abc", "abcd"), []string{"a", "b", "d"}, 2, map[string]uint64{"a": 3, "c": 2}, 2, 0, false},
		{"the owner has left and may still serve", makeViews("ac", "abc", "ab"), []string{"c", "c", "b"}, 3, map[string]uint64{"a": 3, "c": 2}, 2, 0, false},
		{"the owner has left and stopped", makeViews("ac", "abc", "ab"), []string{"c", "c", "b"}, 3, map[string]uint64{"a": 3, "c": 2}, 3, 0, true},
		{"another host has left", makeViews("ac", "abc", "ab"), []string{"a", "b", "b"}, 3, map[string]uint64{"a": 3, "c": 2}, 2, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := newManagerAt(tt.views, tt.active)
			s := shardOwnedBy(t, tt.views, tt.owners...)
			delete(m.history, tt.unknown)
			m.settled = tt.settled
			for name, activeView := range tt.activeView {
				m.peerLocked(member(name)).activeView = activeView
			}
			if got := m.safeToServeLocked(s); got != tt.want {
				t.Fatalf("safe to serve: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestReleaseUsable guards against a state that is installed although another host may
// have served the shard since the state was collected.
func TestReleaseUsable(t *testing.T) {
	for _, tt := range []struct {
		name   string
		views  []View
		owners []string
		since  int
		final  bool
		want   bool
	}{
		{"owned since", makeViews("a", "ab", "abc"), []string{"a", "b", "b"}, 2, false, true},
		{"another owner in between", makeViews("b", "bc", "b"), []string{"b", "c", "b"}, 1, false, false},
		{"sender stopped in the view", makeViews("ab", "abc", "bc"), []string{"a", "a", "b"}, 2, true, true},
		{"sender did not stop in the view", makeViews("ab", "abc", "bc"), []string{"a", "a", "b"}, 2, false, false},
		{"view not known", makeViews("b", "ab", "abc"), []string{"b", "b", "b"}, 0, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := newManagerAt(tt.views, 3)
			r := Release{View: m.history[uint64(tt.since)], From: member("a"), SenderStopped: tt.final}
			if got := m.usableLocked(shardOwnedBy(t, tt.views, tt.owners...), r, 3); got != tt.want {
				t.Fatalf("usable: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestReleaseForAnother guards against a process that accepts a release addressed to an
// earlier process at the same address, and forwards it after it has joined.
func TestReleaseForAnother(t *testing.T) {
	old := View{Number: 3, Members: []Member{{Host: "b", Incarnation: "b0", Address: "b"}}}
	m := New(Config{Self: member("b")}, nil, nil, nil, nil, nil, httime.New())
	err := m.HandleRelease(Release{From: member("a"), View: old, Shard: Shard{Partition: 1}})
	if !errors.Is(err, ErrNotOwner) || len(m.received) != 0 {
		t.Fatalf("error %v with %d releases kept", err, len(m.received))
	}
}

// TestNoHoldWithUnresolvedRemoval guards against a hold that is given while a removal by
// the same host may still take effect, and against a hold for a removed host.
func TestNoHoldWithUnresolvedRemoval(t *testing.T) {
	v := View{Number: 1, Members: []Member{member("a"), member("b")}}
	now := time.Now()
	for _, tt := range []struct {
		unresolvedRemovals []*removal
		to                 string
		lastTableReply     time.Time
		want               bool
	}{
		{nil, "a", now.Add(-3 * time.Second), true},
		{nil, "a", now.Add(-time.Second), false},
		{nil, "x", now.Add(-3 * time.Second), false},
		{[]*removal{{viewVersion: 4}}, "a", now.Add(-3 * time.Second), false},
	} {
		t.Run(fmt.Sprint(tt.want, tt.to, len(tt.unresolvedRemovals)), func(t *testing.T) {
			m := newManagerAt([]View{v}, 1)
			m.unresolvedRemovals, m.lease.lastTableReply = slices.Clone(tt.unresolvedRemovals), tt.lastTableReply
			if got := m.grantHoldLocked(now, member(tt.to)); got != tt.want {
				t.Fatalf("hold given: %v, want %v", got, tt.want)
			}
			if m.givenHoldUntil.IsZero() == tt.want {
				t.Fatalf("end of the given hold is %v", m.givenHoldUntil)
			}
		})
	}
}

// TestExtendRequiresEarlierTableContact guards against a lease that is extended by the
// hold of a member that reached the table after the lease ended: the view may have
// changed in between.
func TestExtendRequiresEarlierTableContact(t *testing.T) {
	v := View{Number: 1, Members: []Member{member("a"), member("b")}}
	now := time.Now()
	for _, tt := range []struct {
		lastTableContact time.Time
		want             bool
	}{{now.Add(-6 * time.Second), true}, {now.Add(-4 * time.Second), false}} {
		m := newManagerAt([]View{v}, 1)
		m.lease.lastWrite, m.lease.lastContact = now.Add(-10*time.Second), now.Add(-9*time.Second) // ended 5 s ago
		m.peerLocked(member("a")).hold = hold{until: now.Add(time.Second), lastTableContact: tt.lastTableContact}
		m.extendLeaseLocked(now)
		if got := !m.LeaseUntil(now).IsZero(); got != tt.want {
			t.Fatalf("lease extended: %v, want %v", got, tt.want)
		}
	}
}
