package htonce_test

import (
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htview"
)

// handOverCase is a key for which Begin returned Run at its owner, and a successor of that
// owner.
type handOverCase struct {
	t                *testing.T
	now              time.Time
	key              string
	shard            htview.Shard
	owner, successor *htonce.Owner
}

func newHandOverCase(t *testing.T) *handOverCase {
	t.Helper()
	now := epoch.Add(time.Hour)
	key := keyAt(now, 1)
	s := &handOverCase{t: t, now: now, key: key, shard: htview.KeyShard("s", key), owner: newOwnerOf(t, htonce.Config{}, key, epoch), successor: htonce.New(htonce.Config{})}
	expect(t, begin(s.owner, now, key, "f"), htonce.Run{})
	return s
}

// install installs the partition at the successor.
func (s *handOverCase) install(at time.Time, state []byte) {
	s.t.Helper()
	if err := s.successor.Install(at, s.shard, state); err != nil {
		s.t.Fatal(err)
	}
}

// TestFaultMatrix applies each fault to each step that involves a key owner. It guards
// against a key that runs again at the successor, and against not-run from a host that is
// not a valid owner. Lease renewal does not involve the key owner; core/htview tests it.
func TestFaultMatrix(t *testing.T) {
	notApplicable := func(why string) func(*handOverCase) { return func(s *handOverCase) { s.t.Log("cannot occur: " + why) } }
	noTableRequest := notApplicable("the key owner makes no request to the table service")
	noHostListRead := notApplicable("the key owner does not read the host list")
	for _, tt := range []struct {
		name string
		run  func(*handOverCase)
	}{
		{"kill/keyed-call", successorWithoutRecords},
		{"kill/hand-over", successorWithoutRecords},
		{"kill/planned-stop", successorWithoutRecords},
		{"pause-past-lease/keyed-call", func(s *handOverCase) {
			later := s.now.Add(8 * time.Second)
			fresh := keyAt(later, 1)
			s.install(later.Add(-time.Second), nil)
			expect(s.t, s.owner.Begin(later, s.now.Add(5*time.Second), "s", fresh, "f"), unknown(htcall.ReasonOwnerLost))
			expect(s.t, s.owner.Begin(later, time.Time{}, "s", s.key, "f"), unknown(htcall.ReasonOwnerLost))
			expect(s.t, begin(s.successor, later, s.key, "f"), unknown(htcall.ReasonFenced))
		}},
		{"pause-past-lease/hand-over", successorWithoutRecords},
		{"pause-past-lease/planned-stop", successorWithoutRecords},
		{"cut-both-ways/keyed-call", resultNotReported},
		{"cut-both-ways/hand-over", successorWithoutRecords},
		{"cut-both-ways/planned-stop", successorWithoutRecords},
		{"cut-one-way/keyed-call", resultNotReported},
		{"cut-one-way/hand-over", resultReportedTwice},
		{"cut-one-way/planned-stop", resultReportedTwice},
		{"answer-lost/keyed-call", resultReportedTwice},
		{"answer-lost/hand-over", resultReportedTwice},
		{"answer-lost/planned-stop", resultReportedTwice},
		{"table-down/keyed-call", noTableRequest},
		{"table-down/hand-over", noTableRequest},
		{"table-down/planned-stop", noTableRequest},
		{"table-slow/keyed-call", noTableRequest},
		{"table-slow/hand-over", noTableRequest},
		{"table-slow/planned-stop", noTableRequest},
		{"host-list-late/keyed-call", noHostListRead},
		{"host-list-late/hand-over", noHostListRead},
		{"host-list-late/planned-stop", noHostListRead},
		{"host-list-wrong/keyed-call", noHostListRead},
		{"host-list-wrong/hand-over", noHostListRead},
		{"host-list-wrong/planned-stop", noHostListRead},
	} {
		t.Run(tt.name, func(t *testing.T) { tt.run(newHandOverCase(t)) })
	}
}

// successorWithoutRecords installs the successor without the exported state of the owner.
func successorWithoutRecords(s *handOverCase) {
	s.install(s.now.Add(8*time.Second), nil)
	expect(s.t, begin(s.successor, s.now.Add(9*time.Second), s.key, "f"), unknown(htcall.ReasonFenced))
	ahead := keyAt(s.now.Add(8*time.Second+htonce.DefaultMaxClockSkew), 1) // created by the owner's clock, which may be ahead
	if htview.KeyShard("s", ahead) == s.shard {
		expect(s.t, begin(s.successor, s.now.Add(9*time.Second), ahead, "f"), unknown(htcall.ReasonFenced))
	}
}

// resultNotReported hands the state over but not the report of the result.
func resultNotReported(s *handOverCase) {
	s.install(s.now, s.owner.Export(s.now, s.shard))
	if _, moved := s.owner.Finish(s.now, "s", s.key, htcall.Done, "", nil); !moved {
		s.t.Fatal("Finish does not request a report to the new owner")
	}
	expect(s.t, begin(s.successor, s.now.Add(time.Minute), s.key, "f"), unknown(htcall.ReasonOwnerLost))
}

// resultReportedTwice reports the result twice, as if the response to the first report
// was lost.
func resultReportedTwice(s *handOverCase) {
	s.install(s.now, s.owner.Export(s.now, s.shard))
	for range 2 {
		_, _ = s.successor.Finish(s.now, "s", s.key, htcall.NotRun, htcall.ReasonRefused, nil)
	}
	expect(s.t, begin(s.successor, s.now, s.key, "f"), htonce.OutcomeOnly{Outcome: htcall.NotRun, Reason: htcall.ReasonRefused})
}
