package htonce_test

import (
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htview"
)

// scene is a key that owner a was told to run, and a successor b.
type scene struct {
	t     *testing.T
	now   time.Time
	key   string
	shard htview.Shard
	a, b  *htonce.Owner
}

func newScene(t *testing.T) *scene {
	t.Helper()
	now := epoch.Add(time.Hour)
	key := keyAt(now, 1)
	s := &scene{t: t, now: now, key: key, shard: htview.KeyShard("s", key), a: owning(t, htonce.Config{}, key, epoch), b: htonce.New(htonce.Config{})}
	expect(t, begin(s.a, now, key, "f"), htonce.Run{})
	return s
}

// move installs the partition at b.
func (s *scene) move(at time.Time, state []byte) {
	s.t.Helper()
	if err := s.b.Install(at, s.shard, state); err != nil {
		s.t.Fatal(err)
	}
}

// TestFaultMatrix guards the steps that concern a key owner against each fault: the
// key never runs again at the successor, and not-run is told by a valid owner only.
// Lease renewal does not involve the key owner; core/htview has those cells.
func TestFaultMatrix(t *testing.T) {
	never := func(why string) func(*scene) { return func(s *scene) { s.t.Log("cannot occur: " + why) } }
	noTable := never("the key owner makes no request to the table service")
	noList := never("the key owner does not read the host list")
	for _, tt := range []struct {
		name string
		run  func(*scene)
	}{
		{"kill/keyed-call", lostMemory},
		{"kill/hand-over", lostMemory},
		{"kill/planned-stop", lostMemory},
		{"pause-past-lease/keyed-call", func(s *scene) {
			later := s.now.Add(8 * time.Second)
			fresh := keyAt(later, 1)
			s.move(later.Add(-time.Second), nil)
			expect(s.t, s.a.Begin(later, s.now.Add(5*time.Second), "s", fresh, "f"), unknown(htcall.ReasonOwnerLost))
			expect(s.t, s.a.Begin(later, time.Time{}, "s", s.key, "f"), unknown(htcall.ReasonOwnerLost))
			expect(s.t, begin(s.b, later, s.key, "f"), unknown(htcall.ReasonFenced))
		}},
		{"pause-past-lease/hand-over", lostMemory},
		{"pause-past-lease/planned-stop", lostMemory},
		{"cut-both-ways/keyed-call", lostReport},
		{"cut-both-ways/hand-over", lostMemory},
		{"cut-both-ways/planned-stop", lostMemory},
		{"cut-one-way/keyed-call", lostReport},
		{"cut-one-way/hand-over", repeatedReport},
		{"cut-one-way/planned-stop", repeatedReport},
		{"answer-lost/keyed-call", repeatedReport},
		{"answer-lost/hand-over", repeatedReport},
		{"answer-lost/planned-stop", repeatedReport},
		{"table-down/keyed-call", noTable},
		{"table-down/hand-over", noTable},
		{"table-down/planned-stop", noTable},
		{"table-slow/keyed-call", noTable},
		{"table-slow/hand-over", noTable},
		{"table-slow/planned-stop", noTable},
		{"host-list-late/keyed-call", noList},
		{"host-list-late/hand-over", noList},
		{"host-list-late/planned-stop", noList},
		{"host-list-wrong/keyed-call", noList},
		{"host-list-wrong/hand-over", noList},
		{"host-list-wrong/planned-stop", noList},
	} {
		t.Run(tt.name, func(t *testing.T) { tt.run(newScene(t)) })
	}
}

// lostMemory: the successor starts without the memory of the owner.
func lostMemory(s *scene) {
	s.move(s.now.Add(8*time.Second), nil)
	expect(s.t, begin(s.b, s.now.Add(9*time.Second), s.key, "f"), unknown(htcall.ReasonFenced))
	ahead := keyAt(s.now.Add(8*time.Second+htonce.DefaultMaxClockSkew), 1) // on the owner's clock, which may be ahead
	if htview.KeyShard("s", ahead) == s.shard {
		expect(s.t, begin(s.b, s.now.Add(9*time.Second), ahead, "f"), unknown(htcall.ReasonFenced))
	}
}

// lostReport: the memory arrives, the report of the end does not.
func lostReport(s *scene) {
	s.move(s.now, s.a.Export(s.now, s.shard))
	if _, moved := s.a.Finish(s.now, "s", s.key, htcall.Done, "", nil); !moved {
		s.t.Fatal("the end is not reported")
	}
	expect(s.t, begin(s.b, s.now.Add(time.Minute), s.key, "f"), unknown(htcall.ReasonOwnerLost))
}

// repeatedReport: the answer to the report is lost, and it is sent again.
func repeatedReport(s *scene) {
	s.move(s.now, s.a.Export(s.now, s.shard))
	for range 2 {
		_, _ = s.b.Finish(s.now, "s", s.key, htcall.NotRun, htcall.ReasonRefused, nil)
	}
	expect(s.t, begin(s.b, s.now, s.key, "f"), htonce.OutcomeOnly{Outcome: htcall.NotRun, Reason: htcall.ReasonRefused})
}
