package htdispatch

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
)

func TestMain(m *testing.M) {
	htassert.PanicOnViolation.Store(true)
	os.Exit(m.Run())
}

// Guards against a failure of an upstream after which its limit is too high, its slot is
// released too early, or the upstream gets no requests for longer than necessary.
func TestFailureOfUpstream(t *testing.T) {
	tests := []struct {
		name    string
		result  Result
		phase   phase
		allowed int
		held    int
		blocked bool // gets no requests immediately after the failure
	}{
		{"cold reported", Completed{Work: 10 * ms, Report: Report{State: StateCold}}, phaseCold, 1, 0, false},
		{"cold not reported", Completed{Work: 200 * ms}, phaseCold, 1, 0, false},
		{"timeout", Abandoned{DeadlinePassed: true}, phaseCold, 1, 1, true},
		{"shedding", Refused{}, phaseCold, 1, 0, true},
		{"draining", Completed{Work: 10 * ms, Report: Report{State: StateDraining}}, phaseDraining, 0, 0, true},
		{"crash", ConnectionLost{}, phaseDown, 0, 1, true},
		{"connection timed out", ConnectionLost{TimedOut: true}, phaseCold, 1, 1, true},
		{"connection refused", NotSent{}, phaseDown, 0, 0, true},
		{"not sent for a local cause", NotSent{Local: true}, phaseWarm, 2, 0, false},
		{"caller left", Abandoned{}, phaseWarm, 2, 1, false},
		{"fewer slots reported", Completed{Work: 10 * ms, Report: Report{Slots: 1}}, phaseWarm, 1, 0, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			s := newHarness(t, Config{}, upstreams(2, 2)...)
			s.warmUp()
			id := s.startOn("u0")
			if _, late := v.result.(Abandoned); late {
				s.advance(200 * ms)
			}
			s.finish(id, v.result)
			u := s.upstream("u0")
			s.check("phase", u.Phase, string(v.phase))
			s.check("allowed", u.Allowed, v.allowed)
			s.check("held", s.p.Dump().Held, v.held)
			for range 8 {
				s.offer("c")
			}
			started := 0
			for _, r := range s.running {
				if r.Upstream.Name == "u0" {
					started++
				}
			}
			inFlight := v.held
			if !v.blocked {
				inFlight = v.allowed
			}
			s.check("in flight", s.upstream("u0").InFlight, inFlight)
			s.check("blocked", started == 0, v.blocked)
			s.check("queued requests start on the other upstream", s.upstream("u1").InFlight, 2)
		})
	}
}

// Guards against a slot that is reused while the upstream may still process the request
// of a lost connection, and against a slot that is never reused.
func TestHeldSlotEndsAfterDeadline(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 1)...)
	s.finish(s.offer("a"), ConnectionLost{TimedOut: true})
	deadline := s.now.Add(10 * time.Second)
	waiting := s.offer("b")
	s.apply(s.p.Finish(s.now, 0, Completed{}))
	s.apply(s.p.Cancel(s.now, waiting))
	s.advance(deadline.Sub(s.now))
	s.check("held at the deadline", s.p.Dump().Held, 1)
	next := s.offer("c")
	s.advance(5 * ms)
	s.check("started after the deadline", s.running[next].Request.ID, next)
	s.check("canceled", s.refused[waiting], htcall.ReasonCanceled)
}

// Guards against a restarted or crashed upstream that gets full load immediately, and
// against more probes than the declared budget.
func TestCrashedUpstreamComesBackColdByProbe(t *testing.T) {
	s := newHarness(t, Config{ProbesPerSec: 2}, upstreams(1, 4)...)
	s.probesFail = true
	s.finish(s.offer("a"), NotSent{})
	s.check("refused", s.refused[s.offer("a")], htcall.ReasonNoUpstream)
	s.advance(499 * ms)
	s.check("probes before the first token", len(s.probes), 0)
	s.advance(10*time.Second - 499*ms)
	if n := len(s.probes); n < 19 || n > 20 {
		t.Fatalf("%d probes in 10 s", n)
	}
	s.probesFail = false
	s.advance(time.Second)
	s.check("allowed", s.upstream("u0").Allowed, 1)
	s.check("phase", s.upstream("u0").Phase, string(phaseCold))
}

// Guards against a limit that rises because of an upstream's report, because of responses
// to requests sent before the upstream became cold, or faster than responses justify.
func TestColdStartLimitRisesOnlyOnResponses(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 2)...)
	s.warmUp()
	old, cold := s.offer("a"), s.offer("a")
	s.advance(ms)
	s.finish(cold, Completed{Work: 10 * ms, Report: Report{State: StateCold}})
	s.finish(old, Completed{Work: ms, Report: Report{State: StateWarm}})
	s.check("warm evidence from an earlier request", s.p.upstreams["u0"].warmEvidence, 0.0)
	tests := []struct {
		name      string
		responses int
		response  Completed
		allowed   int
	}{
		{"reports warm, slow", 50, Completed{Work: 30 * ms, Report: Report{State: StateWarm, Slots: 2}}, 1},
		{"fast, reports cold", 50, Completed{Work: ms, Report: Report{State: StateCold}}, 1},
		{"one fast response", 1, Completed{Work: 10 * ms}, 1},
		{"many fast responses", 20, Completed{Work: 10 * ms}, 2},
		{"reports more slots", 50, Completed{Work: 10 * ms, Report: Report{State: StateWarm, Slots: 9}}, 2},
	}
	for _, v := range tests {
		for range v.responses {
			id := s.offer("a")
			s.advance(10 * ms)
			s.finish(id, v.response)
		}
		s.check(v.name, s.upstream("u0").Allowed, v.allowed)
	}
}

// Guards against an idle upstream that sheds load and is sent, and refuses, all queued
// requests, and against an upstream that is never retried.
func TestRefusalBackoff(t *testing.T) {
	s := newHarness(t, Config{RefusalBackoff: 20 * ms}, upstreams(1, 1)...)
	id := s.offer("a")
	for _, pause := range []time.Duration{20 * ms, 40 * ms, 80 * ms} {
		next := s.offer("a")
		s.finish(id, Refused{})
		s.advance(pause - ms)
		s.check("started early", s.running[next].Ticket, Ticket(0))
		s.advance(ms)
		s.check("started", s.running[next].Request.ID, next)
		id = next
	}
	s.finish(id, Completed{Work: ms})
	s.finish(s.offer("a"), Refused{})
	next := s.offer("a")
	s.advance(20 * ms)
	s.check("started after the first backoff", s.running[next].Request.ID, next)
}

// Guards against a limit above or below the declared cold limit on an upstream that
// reports being cold.
func TestColdLimit(t *testing.T) {
	s := newHarness(t, Config{ColdLimit: 2}, upstreams(1, 4)...)
	s.warmUp()
	for range 50 {
		id, second := s.offer("a"), s.offer("a")
		s.advance(10 * ms)
		s.finish(id, Completed{Work: 10 * ms, Report: Report{State: StateCold}})
		s.finish(second, Completed{Work: 10 * ms, Report: Report{State: StateCold}})
	}
	s.check("allowed", s.upstream("u0").Allowed, 2)
}

// Guards against ordinary variance of work times that classifies warm upstreams as cold.
func TestOrdinaryVarianceIsNotCold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := newHarness(t, Config{}, upstreams(1, 2)...)
	s.warmUp()
	alarms := 0
	for range 20000 {
		id := s.offer("a")
		s.advance(10 * ms)
		s.finish(id, Completed{Work: time.Duration(random.ExpFloat64() * float64(10*ms))})
		if s.upstream("u0").Allowed == 1 {
			alarms++
			s.warmUp()
		}
	}
	if alarms > 4 {
		t.Fatalf("%d false alarms in 20000 responses", alarms)
	}
}

// Guards against a lasting change of the work times that leaves a whole pool cold
// permanently.
func TestLastingChangeOfWorkIsLearned(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(2, 2)...)
	s.warmUp()
	for range 800 {
		id := s.offer("a")
		s.advance(100 * ms)
		s.finish(id, Completed{Work: 100 * ms})
	}
	s.check("capacity", s.p.Load(s.now).Capacity, 4)
}

// Guards against new requests on an upstream or in a failure domain that is out of
// service, against requests that stay queued for it, and against full load on its
// return.
func TestUpstreamRemovedAndRestored(t *testing.T) {
	declared := upstreams(1, 2)
	leaving := upstreams(1, 2)
	leaving[0].Leaving = true
	tests := []struct {
		name     string
		declared []htresource.Upstream
		out      bool
		reason   htcall.Reason
	}{
		{"leaving", leaving, false, htcall.ReasonNoUpstream},
		{"removed", nil, false, htcall.ReasonNoUpstream},
		{"domain out", declared, true, htcall.ReasonDomainOut},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			s := newHarness(t, Config{}, declared...)
			s.warmUp()
			running := s.offer("a")
			s.offer("a")
			waiting := s.offer("a")
			s.apply(s.p.SetUpstreams(s.now, v.declared, v.out))
			s.check("queued", s.refused[waiting], v.reason)
			s.check("offered", s.refused[s.offer("a")], v.reason)
			s.check("capacity", s.p.Load(s.now).Capacity, 0)
			s.advance(5 * time.Second)
			s.check("probes while out of service", len(s.probes), 0)
			s.apply(s.p.SetUpstreams(s.now, declared, false))
			s.check("allowed", s.upstream("u0").Allowed, 1)
			s.check("in flight", s.upstream("u0").InFlight, 2)
			s.finish(running, Completed{Work: 10 * ms})
		})
	}
}

// Guards against a new owner that starts requests on slots that the old owner still
// occupies, and against an old owner that starts requests after the hand-over.
func TestHandOver(t *testing.T) {
	old := newHarness(t, Config{}, upstreams(1, 2)...)
	old.warmUp()
	old.offer("a")
	old.offer("a")
	waiting := old.offer("a")
	old.apply(old.p.Freeze(old.now))
	old.check("queued", old.refused[waiting], htcall.ReasonMoved)
	old.check("offered", old.refused[old.offer("a")], htcall.ReasonMoved)

	s := newHarness(t, Config{})
	s.p.RestoreSlots(s.now, []OccupiedSlot{{Upstream: "u0", Until: s.now.Add(50 * ms)}, {Upstream: "u0", Until: s.now.Add(80 * ms)}})
	s.check("slots handed over", len(old.p.OccupiedSlots()), 2)
	s.apply(s.p.SetUpstreams(s.now, upstreams(1, 2), false))
	next := s.offer("a")
	s.advance(79 * ms)
	s.check("started early", s.running[next].Ticket, Ticket(0))
	s.advance(ms)
	s.check("started", s.running[next].Request.ID, next)
}

// Guards against a concurrent probe and request on an upstream with one slot, and against
// probing every upstream at the moment a failure domain returns to service.
func TestProbeOccupiesSlot(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 1)...)
	s.apply(s.p.SetUpstreams(s.now, upstreams(1, 1), true))
	s.advance(10 * time.Second)
	s.apply(s.p.SetUpstreams(s.now, upstreams(1, 1), false))
	s.check("probes at the return to service", len(s.probes), 0)
	var actions []Action
	for len(actions) == 0 {
		s.now = s.p.NextTick(s.now)
		actions = s.p.Tick(s.now)
	}
	s.check("first action", actions[0].(Probe).Upstream.Name, "u0")
	id := s.offer("a")
	s.check("started during a probe", s.running[id].Ticket, Ticket(0))
	s.apply(s.p.ProbeDone(s.now, "u0", true, Report{}))
	s.check("started", s.running[id].Request.ID, id)
}
