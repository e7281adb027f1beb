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

// Guards against each failure of an upstream leaving its limit too high, its slot
// free too early, or the upstream out of work for longer than the failure asks for.
func TestFailureOfUpstream(t *testing.T) {
	tests := []struct {
		name    string
		result  Result
		phase   phase
		allowed int
		held    int
		blocked bool // gets no work at once
	}{
		{"announced cold", Completed{Work: 10 * ms, Report: Report{State: StateCold}}, phaseCold, 1, 0, false},
		{"cold without warning", Completed{Work: 200 * ms}, phaseCold, 1, 0, false},
		{"timeout", Abandoned{DeadlinePassed: true}, phaseCold, 1, 1, true},
		{"shedding", Refused{}, phaseCold, 1, 0, true},
		{"draining", Completed{Work: 10 * ms, Report: Report{State: StateDraining}}, phaseDraining, 0, 0, true},
		{"crash", ConnectionLost{}, phaseDown, 0, 1, true},
		{"silent connection", ConnectionLost{TimedOut: true}, phaseCold, 1, 1, true},
		{"connection refused", NotSent{}, phaseDown, 0, 0, true},
		{"not sent by this side", NotSent{Local: true}, phaseWarm, 2, 0, false},
		{"caller left", Abandoned{}, phaseWarm, 2, 1, false},
		{"fewer slots reported", Completed{Work: 10 * ms, Report: Report{Slots: 1}}, phaseWarm, 1, 0, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t, Config{}, upstreams(2, 2)...)
			s.warm()
			id := s.on("u0")
			if _, late := v.result.(Abandoned); late {
				s.wait(200 * ms)
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
			s.check("queued work goes elsewhere", s.upstream("u1").InFlight, 2)
		})
	}
}

// Guards against a slot that is given out again while the upstream may still work
// on the broken request, and against one that is never given out again.
func TestHeldSlotEndsAfterDeadline(t *testing.T) {
	s := newScript(t, Config{}, upstreams(1, 1)...)
	s.finish(s.offer("a"), ConnectionLost{TimedOut: true})
	deadline := s.now.Add(10 * time.Second)
	waiting := s.offer("b")
	s.take(s.p.Finish(s.now, 0, Completed{}))
	s.take(s.p.Cancel(s.now, waiting))
	s.wait(deadline.Sub(s.now))
	s.check("held at the deadline", s.p.Dump().Held, 1)
	next := s.offer("c")
	s.wait(5 * ms)
	s.check("started after the deadline", s.running[next].Request.ID, next)
	s.check("canceled", s.refused[waiting], htcall.ReasonCanceled)
}

// Guards against a restarted or crashed upstream that gets full load at once, and
// against a budget that allows more probes than declared.
func TestCrashedUpstreamComesBackColdByProbe(t *testing.T) {
	s := newScript(t, Config{ProbesPerSec: 2}, upstreams(1, 4)...)
	s.fail = true
	s.finish(s.offer("a"), NotSent{})
	s.check("refused", s.refused[s.offer("a")], htcall.ReasonNoUpstream)
	s.wait(499 * ms)
	s.check("probes before the first token", len(s.probes), 0)
	s.wait(10*time.Second - 499*ms)
	if n := len(s.probes); n < 19 || n > 20 {
		t.Fatalf("%d probes in 10 s", n)
	}
	s.fail = false
	s.wait(time.Second)
	s.check("allowed", s.upstream("u0").Allowed, 1)
	s.check("phase", s.upstream("u0").Phase, string(phaseCold))
}

// Guards against a limit that rises on what an upstream says, on answers to
// requests from before the setback, or faster than answers prove.
func TestColdStartGrowsOnProofOnly(t *testing.T) {
	s := newScript(t, Config{}, upstreams(1, 2)...)
	s.warm()
	old, cold := s.offer("a"), s.offer("a")
	s.wait(ms)
	s.finish(cold, Completed{Work: 10 * ms, Report: Report{State: StateCold}})
	s.finish(old, Completed{Work: ms, Report: Report{State: StateWarm}})
	s.check("warmth from an answer of before", s.p.upstreams["u0"].warmth, 0.0)
	tests := []struct {
		name    string
		answers int
		answer  Completed
		allowed int
	}{
		{"says warm, slow", 50, Completed{Work: 30 * ms, Report: Report{State: StateWarm, Slots: 2}}, 1},
		{"quick, says cold", 50, Completed{Work: ms, Report: Report{State: StateCold}}, 1},
		{"quick once", 1, Completed{Work: 10 * ms}, 1},
		{"quick for a while", 20, Completed{Work: 10 * ms}, 2},
		{"says more slots", 50, Completed{Work: 10 * ms, Report: Report{State: StateWarm, Slots: 9}}, 2},
	}
	for _, v := range tests {
		for range v.answers {
			id := s.offer("a")
			s.wait(10 * ms)
			s.finish(id, v.answer)
		}
		s.check(v.name, s.upstream("u0").Allowed, v.allowed)
	}
}

// Guards against an idle upstream that sheds drawing all the queued work and
// refusing it, and against one that is never tried again.
func TestSheddingUpstreamGetsPauses(t *testing.T) {
	s := newScript(t, Config{RefusalBackoff: 20 * ms}, upstreams(1, 1)...)
	id := s.offer("a")
	for _, pause := range []time.Duration{20 * ms, 40 * ms, 80 * ms} {
		next := s.offer("a")
		s.finish(id, Refused{})
		s.wait(pause - ms)
		s.check("started early", s.running[next].Ticket, Ticket(0))
		s.wait(ms)
		s.check("started", s.running[next].Request.ID, next)
		id = next
	}
	s.finish(id, Completed{Work: ms})
	s.finish(s.offer("a"), Refused{})
	next := s.offer("a")
	s.wait(20 * ms)
	s.check("started after the first pause", s.running[next].Request.ID, next)
}

// Guards against more work on an upstream that says it is cold than the declared
// cold limit, and against less.
func TestColdLimit(t *testing.T) {
	s := newScript(t, Config{ColdLimit: 2}, upstreams(1, 4)...)
	s.warm()
	for range 50 {
		id, second := s.offer("a"), s.offer("a")
		s.wait(10 * ms)
		s.finish(id, Completed{Work: 10 * ms, Report: Report{State: StateCold}})
		s.finish(second, Completed{Work: 10 * ms, Report: Report{State: StateCold}})
	}
	s.check("allowed", s.upstream("u0").Allowed, 2)
}

// Guards against ordinary variance of work times taking warm upstreams for cold.
func TestOrdinaryVarianceIsNotCold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := newScript(t, Config{}, upstreams(1, 2)...)
	s.warm()
	alarms := 0
	for range 20000 {
		id := s.offer("a")
		s.wait(10 * ms)
		s.finish(id, Completed{Work: time.Duration(random.ExpFloat64() * float64(10*ms))})
		if s.upstream("u0").Allowed == 1 {
			alarms++
			s.warm()
		}
	}
	if alarms > 4 {
		t.Fatalf("%d false alarms in 20000 answers", alarms)
	}
}

// Guards against a change of the work itself leaving a whole pool cold for good.
func TestLastingChangeOfWorkIsLearned(t *testing.T) {
	s := newScript(t, Config{}, upstreams(2, 2)...)
	s.warm()
	for range 800 {
		id := s.offer("a")
		s.wait(100 * ms)
		s.finish(id, Completed{Work: 100 * ms})
	}
	s.check("capacity", s.p.Load(s.now).Capacity, 4)
}

// Guards against new work on an upstream or in a failure domain that was taken out,
// against work that stays queued for it, and against full load on its return.
func TestTakenOutAndBack(t *testing.T) {
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
			s := newScript(t, Config{}, declared...)
			s.warm()
			running := s.offer("a")
			s.offer("a")
			waiting := s.offer("a")
			s.take(s.p.SetUpstreams(s.now, v.declared, v.out))
			s.check("queued", s.refused[waiting], v.reason)
			s.check("offered", s.refused[s.offer("a")], v.reason)
			s.check("capacity", s.p.Load(s.now).Capacity, 0)
			s.wait(5 * time.Second)
			s.check("probes while out", len(s.probes), 0)
			s.take(s.p.SetUpstreams(s.now, declared, false))
			s.check("allowed", s.upstream("u0").Allowed, 1)
			s.check("in flight", s.upstream("u0").InFlight, 2)
			s.finish(running, Completed{Work: 10 * ms})
		})
	}
}

// Guards against a new owner that starts work on slots that the old owner still
// has in flight, and an old owner that goes on after the hand-over.
func TestHandOver(t *testing.T) {
	old := newScript(t, Config{}, upstreams(1, 2)...)
	old.warm()
	old.offer("a")
	old.offer("a")
	waiting := old.offer("a")
	old.take(old.p.Freeze(old.now))
	old.check("queued", old.refused[waiting], htcall.ReasonMoved)
	old.check("offered", old.refused[old.offer("a")], htcall.ReasonMoved)

	s := newScript(t, Config{})
	s.p.RestoreSlots(s.now, []OccupiedSlot{{Upstream: "u0", Until: s.now.Add(50 * ms)}, {Upstream: "u0", Until: s.now.Add(80 * ms)}})
	s.check("handed over", len(old.p.OccupiedSlots()), 2)
	s.take(s.p.SetUpstreams(s.now, upstreams(1, 2), false))
	next := s.offer("a")
	s.wait(79 * ms)
	s.check("started early", s.running[next].Ticket, Ticket(0))
	s.wait(ms)
	s.check("started", s.running[next].Request.ID, next)
}

// Guards against a probe and a request at the same time on an upstream that bears
// one, and against a probe of each upstream at the moment a failure domain is back.
func TestProbeIsWork(t *testing.T) {
	s := newScript(t, Config{}, upstreams(1, 1)...)
	s.take(s.p.SetUpstreams(s.now, upstreams(1, 1), true))
	s.wait(10 * time.Second)
	s.take(s.p.SetUpstreams(s.now, upstreams(1, 1), false))
	s.check("probes at the return", len(s.probes), 0)
	var actions []Action
	for len(actions) == 0 {
		s.now = s.p.NextTick(s.now)
		actions = s.p.Tick(s.now)
	}
	s.check("first action", actions[0].(Probe).Upstream.Name, "u0")
	id := s.offer("a")
	s.check("started while probed", s.running[id].Ticket, Ticket(0))
	s.take(s.p.ProbeDone(s.now, "u0", true, Report{}))
	s.check("started", s.running[id].Request.ID, id)
}
