package htdispatch

import (
	"testing"
	"time"

	"hawthornturn/core/htresource"
)

// Guards against more work than slots on an upstream that was paused: the requests whose
// time passed during the pause reach it when it wakes, beside those that were sent since.
// Seen as over-slots=1 in the script pause-upstream.
func TestSilentUpstreamKeepsItsSlotsTaken(t *testing.T) {
	const cancelGrace = 250 * ms // Config.CancelGrace
	tests := []struct {
		name   string
		result Result
		after  time.Duration // from the start of the requests to their end
	}{
		{"deadline passed", Abandoned{DeadlinePassed: true}, 10 * time.Second},
		{"connection timed out", ConnectionLost{TimedOut: true}, 5 * time.Second},
		{"callers left overdue answers", Abandoned{}, time.Second},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t, Config{}, upstreams(1, 4)...)
			s.warm()
			s.fail = true
			ids := []string{s.offer("a"), s.offer("a"), s.offer("a"), s.offer("a")}
			s.wait(v.after)
			for _, id := range ids {
				s.finish(id, v.result)
			}
			// The probes say nothing: the upstream may be paused.
			s.silent = true
			s.wait(11 * time.Second)
			next := s.offer("b")
			s.wait(2 * time.Second)
			s.check("started on a silent upstream", s.running[next].Ticket, Ticket(0))
			s.check("slots taken", s.upstream("u0").InFlight, 4)
			s.check("slots taken by overdue requests", s.upstream("u0").Silent, 4)
			s.silent, s.fail = false, false
			s.probeAnswered("u0")
			next = s.offer("b")
			s.wait(cancelGrace - ms)
			s.check("started before the requests of the pause ended", s.running[next].Ticket, Ticket(0))
			s.wait(ms)
			s.check("started after the silence", s.running[next].Request.ID, next)
		})
	}
}

// Guards against slots of a working upstream that stay taken although it answers: its own
// deadline has passed for the requests that it had read.
func TestAnswersEndTheSilence(t *testing.T) {
	s := newScript(t, Config{}, upstreams(1, 3)...)
	s.warm()
	s.silent = true
	late, between, last := s.offer("a"), s.offer("a"), s.offer("a")
	s.wait(time.Second)
	s.finish(between, Completed{Work: time.Second})
	s.wait(9 * time.Second)
	s.finish(late, Abandoned{DeadlinePassed: true})
	s.wait(6 * ms)
	s.check("taken", s.upstream("u0").InFlight, 2)
	s.finish(last, Completed{Work: 9 * time.Second})
	s.check("free", s.upstream("u0").InFlight, 0)
}

// Guards against an upstream that is out of work because of a request that was given up
// before its answer was due.
func TestEarlyLeaveIsNoSilence(t *testing.T) {
	s := newScript(t, Config{}, upstreams(1, 1)...)
	s.warm()
	s.silent = true
	id := s.offer("a")
	s.wait(ms)
	start := s.running[id]
	s.finish(id, Abandoned{})
	s.wait(100 * ms)
	s.take(s.p.Finish(s.now, start.Ticket, ConnectionLost{})) // the end of the cancelled connection
	s.wait(155 * ms)
	s.check("taken", s.upstream("u0").InFlight, 0)
}

// Guards against slots of a silent upstream that a new owner of the shard gives out, and
// against slots that stay taken for ever when the upstream is declared no more.
func TestSilenceIsHandedOver(t *testing.T) {
	s := newScript(t, Config{}, upstreams(1, 1)...)
	s.warm()
	s.silent = true
	id := s.offer("a")
	s.wait(10 * time.Second)
	s.finish(id, Abandoned{DeadlinePassed: true})
	s.wait(time.Second)
	s.take(s.p.Freeze(s.now))
	occupied, now := s.p.OccupiedSlots(), s.now

	s = newScript(t, Config{})
	s.now, s.silent = now, true
	s.p.RestoreSlots(s.now, occupied)
	s.take(s.p.SetUpstreams(s.now, upstreams(1, 1), false))
	next := s.offer("b")
	s.wait(2 * time.Second)
	s.check("started on a silent upstream", s.running[next].Ticket, Ticket(0))
	s.take(s.p.SetUpstreams(s.now, []htresource.Upstream{}, false))
	s.check("slots of an upstream that is gone", len(s.p.OccupiedSlots()), 0)
}
