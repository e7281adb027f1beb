package htdispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
)

const ms = time.Millisecond

// harness drives a Pool with a simulated clock and records its actions.
type harness struct {
	t             *testing.T
	p             *Pool
	now           time.Time
	seq           int
	running       map[string]Start // by request ID
	refused       map[string]htcall.Reason
	probes        []string
	probesFail    bool // probes return a failure
	probesTimeOut bool // probes return no result
}

func newHarness(t *testing.T, cfg Config, declared ...htresource.Upstream) *harness {
	s := &harness{t: t, now: time.Unix(1000, 0), running: map[string]Start{}, refused: map[string]htcall.Reason{}}
	s.p = New(cfg, s.now)
	s.apply(s.p.SetUpstreams(s.now, declared, false))
	return s
}

func (s *harness) apply(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Start:
			s.running[v.Request.ID] = v
		case Refuse:
			s.refused[v.Request.ID] = v.Reason
		case Probe:
			s.probes = append(s.probes, v.Upstream.Name)
			if s.probesTimeOut {
				continue
			}
			s.apply(s.p.ProbeDone(s.now, v.Upstream.Name, !s.probesFail, Report{State: StateWarm}))
		}
	}
}

// offer offers a request of the caller with a deadline 10 s from now and returns its ID.
func (s *harness) offer(caller string) string {
	s.seq++
	id := fmt.Sprintf("%s%d", caller, s.seq)
	s.apply(s.p.Offer(s.now, Request{ID: id, Service: "s", Caller: caller, Deadline: s.now.Add(10 * time.Second)}))
	return id
}

// succeedProbe reports the success of the pending probe of an upstream, or of the next
// one, until no slot awaits a response.
func (s *harness) succeedProbe(name string) {
	s.t.Helper()
	for range 4 {
		n := len(s.probes)
		s.apply(s.p.ProbeDone(s.now, name, true, Report{State: StateWarm}))
		if len(s.p.upstreams[name].awaitingResponse) == 0 {
			return
		}
		for len(s.probes) == n {
			s.now = s.p.NextTick(s.now)
			s.apply(s.p.Tick(s.now))
		}
	}
	s.t.Fatalf("no probe of %s", name)
}

func (s *harness) finish(id string, r Result) {
	start, ok := s.running[id]
	if !ok {
		s.t.Fatalf("%s is not running; running %v, refused %v", id, s.running, s.refused)
	}
	delete(s.running, id)
	s.apply(s.p.Finish(s.now, start.Ticket, r))
}

// advance moves the clock by d and calls Tick whenever NextTick requires it.
func (s *harness) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		next := s.p.NextTick(s.now)
		if next.IsZero() || next.After(end) {
			s.now = end
			return
		}
		s.now = next
		s.apply(s.p.Tick(s.now))
	}
}

// warmUp runs pairs of requests until every upstream may use all of its slots.
func (s *harness) warmUp() {
	for range 500 {
		id := s.offer("warm")
		second := s.offer("warm")
		s.advance(10 * ms)
		s.finish(id, Completed{Work: 10 * ms})
		s.finish(second, Completed{Work: 10 * ms})
		cold := slices.ContainsFunc(s.p.Dump().Upstreams, func(u UpstreamDump) bool { return u.Allowed < u.Slots })
		if !cold && s.seq > 2*minSamples {
			return
		}
	}
	s.t.Fatal("upstreams do not become warm")
}

func (s *harness) upstream(name string) UpstreamDump {
	all := s.p.Dump().Upstreams
	return all[slices.IndexFunc(all, func(u UpstreamDump) bool { return u.Name == name })]
}

// startOn offers requests until one starts on the named upstream and returns its ID.
func (s *harness) startOn(name string) string {
	for range 50 {
		id := s.offer("on")
		if start, ok := s.running[id]; ok && start.Upstream.Name == name {
			return id
		}
	}
	s.t.Fatalf("nothing starts on %s", name)
	return ""
}

func (s *harness) check(what string, got, want any) {
	s.t.Helper()
	if got != want {
		s.t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
