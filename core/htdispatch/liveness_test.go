package htdispatch

import (
	"testing"
	"time"

	"hawthornturn/core/htresource"
)

// Guards against more requests than slots on an upstream that was paused: when it resumes,
// it reads the requests that expired during the pause in addition to those sent since.
// In the script pause-upstream, the paused upstream accepted one request more than it has
// slots (over-slots=1).
func TestUnresponsiveUpstreamKeepsSlotsOccupied(t *testing.T) {
	const cancelGrace = 250 * ms // Config.CancelGrace
	tests := []struct {
		name   string
		result Result
		after  time.Duration // time between the start and the end of the requests
	}{
		{"deadline passed", Abandoned{DeadlinePassed: true}, 10 * time.Second},
		{"connection timed out", ConnectionLost{TimedOut: true}, 5 * time.Second},
		{"callers cancelled overdue requests", Abandoned{}, time.Second},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			s := newHarness(t, Config{}, upstreams(1, 4)...)
			s.warmUp()
			s.probesFail = true
			ids := []string{s.offer("a"), s.offer("a"), s.offer("a"), s.offer("a")}
			s.advance(v.after)
			for _, id := range ids {
				s.finish(id, v.result)
			}
			// Probes return no result, so the upstream may be paused.
			s.probesTimeOut = true
			s.advance(11 * time.Second)
			next := s.offer("b")
			s.advance(2 * time.Second)
			s.check("started on an unresponsive upstream", s.running[next].Ticket, Ticket(0))
			s.check("slots occupied", s.upstream("u0").InFlight, 4)
			s.check("slots of overdue requests", s.upstream("u0").Silent, 4)
			s.probesTimeOut, s.probesFail = false, false
			s.succeedProbe("u0")
			next = s.offer("b")
			s.advance(cancelGrace - ms)
			s.check("started before the requests sent during the pause ended", s.running[next].Ticket, Ticket(0))
			s.advance(ms)
			s.check("started after the upstream responded", s.running[next].Request.ID, next)
		})
	}
}

// Guards against a paused upstream whose slots are reused before any response to this class of
// requests was seen: whether a response is overdue was not known then. In the script
// pause-one-slot, an upstream paused right after the start of the load got two requests at
// once when it resumed.
func TestUnresponsiveUpstreamKeepsSlotsBeforeFirstResponse(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 1)...)
	s.probesTimeOut = true
	id := s.offer("a")
	s.advance(10 * time.Second)
	s.finish(id, Abandoned{DeadlinePassed: true})
	s.advance(time.Second)
	next := s.offer("b")
	s.advance(time.Second)
	s.check("started on an unresponsive upstream", s.running[next].Ticket, Ticket(0))
	s.check("slots occupied", s.upstream("u0").InFlight, 1)
	s.probesTimeOut = false
	s.succeedProbe("u0")
	next = s.offer("b")
	s.advance(time.Second)
	s.check("started after the upstream responded", s.running[next].Request.ID, next)
}

// Guards against overdue slots that stay occupied although the upstream responds: the
// requests that it had read before have reached their deadline there as well.
func TestResponseReleasesOverdueSlots(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 3)...)
	s.warmUp()
	s.probesTimeOut = true
	late, between, last := s.offer("a"), s.offer("a"), s.offer("a")
	s.advance(time.Second)
	s.finish(between, Completed{Work: time.Second})
	s.advance(9 * time.Second)
	s.finish(late, Abandoned{DeadlinePassed: true})
	s.advance(6 * ms)
	s.check("taken", s.upstream("u0").InFlight, 2)
	s.finish(last, Completed{Work: 9 * time.Second})
	s.check("free", s.upstream("u0").InFlight, 0)
}

// Guards against an upstream that gets no requests because a request was cancelled before
// its response was overdue.
func TestCancelBeforeOverdueReleasesSlot(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 1)...)
	s.warmUp()
	s.probesTimeOut = true
	id := s.offer("a")
	s.advance(ms)
	start := s.running[id]
	s.finish(id, Abandoned{})
	s.advance(100 * ms)
	s.apply(s.p.Finish(s.now, start.Ticket, ConnectionLost{})) // result of the cancelled connection
	s.advance(155 * ms)
	s.check("taken", s.upstream("u0").InFlight, 0)
}

// Guards against a new owner of the shard that reuses the slots of an unresponsive
// upstream, and against slots that stay occupied forever after the upstream is removed.
func TestHandOverKeepsOverdueSlots(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 1)...)
	s.warmUp()
	s.probesTimeOut = true
	id := s.offer("a")
	s.advance(10 * time.Second)
	s.finish(id, Abandoned{DeadlinePassed: true})
	s.advance(time.Second)
	s.apply(s.p.Freeze(s.now))
	occupied, now := s.p.OccupiedSlots(), s.now

	s = newHarness(t, Config{})
	s.now, s.probesTimeOut = now, true
	s.p.RestoreSlots(s.now, occupied)
	s.apply(s.p.SetUpstreams(s.now, upstreams(1, 1), false))
	next := s.offer("b")
	s.advance(2 * time.Second)
	s.check("started on an unresponsive upstream", s.running[next].Ticket, Ticket(0))
	s.apply(s.p.SetUpstreams(s.now, []htresource.Upstream{}, false))
	s.check("slots of a removed upstream", len(s.p.OccupiedSlots()), 0)
}
