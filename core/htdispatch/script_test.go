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

// script drives a Pool and keeps what it decided.
type script struct {
	t       *testing.T
	p       *Pool
	now     time.Time
	seq     int
	running map[string]Start // by request ID
	refused map[string]htcall.Reason
	probes  []string
	fail    bool // probes fail
	silent  bool // probes get no answer at all
}

func newScript(t *testing.T, cfg Config, declared ...htresource.Upstream) *script {
	s := &script{t: t, now: time.Unix(1000, 0), running: map[string]Start{}, refused: map[string]htcall.Reason{}}
	s.p = New(cfg, s.now)
	s.take(s.p.SetUpstreams(s.now, declared, false))
	return s
}

func (s *script) take(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Start:
			s.running[v.Request.ID] = v
		case Refuse:
			s.refused[v.Request.ID] = v.Reason
		case Probe:
			s.probes = append(s.probes, v.Upstream.Name)
			if s.silent {
				continue
			}
			s.take(s.p.ProbeDone(s.now, v.Upstream.Name, !s.fail, Report{State: StateWarm}))
		}
	}
}

// offer offers a request of the caller with a deadline in 10 s and returns its ID.
func (s *script) offer(caller string) string {
	s.seq++
	id := fmt.Sprintf("%s%d", caller, s.seq)
	s.take(s.p.Offer(s.now, Request{ID: id, Service: "s", Caller: caller, Deadline: s.now.Add(10 * time.Second)}))
	return id
}

// probeAnswered brings the answer of a probe that is on its way, or of the next one.
func (s *script) probeAnswered(name string) {
	s.t.Helper()
	for range 4 {
		n := len(s.probes)
		s.take(s.p.ProbeDone(s.now, name, true, Report{State: StateWarm}))
		if len(s.p.upstreams[name].silent) == 0 {
			return
		}
		for len(s.probes) == n {
			s.now = s.p.NextTick(s.now)
			s.take(s.p.Tick(s.now))
		}
	}
	s.t.Fatalf("no probe of %s", name)
}

func (s *script) finish(id string, r Result) {
	start, ok := s.running[id]
	if !ok {
		s.t.Fatalf("%s is not running; running %v, refused %v", id, s.running, s.refused)
	}
	delete(s.running, id)
	s.take(s.p.Finish(s.now, start.Ticket, r))
}

// wait lets time pass, with a Tick whenever the Pool asks for one.
func (s *script) wait(d time.Duration) {
	end := s.now.Add(d)
	for {
		next := s.p.NextTick(s.now)
		if next.IsZero() || next.After(end) {
			s.now = end
			return
		}
		s.now = next
		s.take(s.p.Tick(s.now))
	}
}

// warm runs requests one after the other until every upstream may use its slots.
func (s *script) warm() {
	for range 500 {
		id := s.offer("warm")
		second := s.offer("warm")
		s.wait(10 * ms)
		s.finish(id, Completed{Work: 10 * ms})
		s.finish(second, Completed{Work: 10 * ms})
		cold := slices.ContainsFunc(s.p.Dump().Upstreams, func(u UpstreamDump) bool { return u.Allowed < u.Slots })
		if !cold && s.seq > 2*enoughSamples {
			return
		}
	}
	s.t.Fatal("upstreams do not become warm")
}

func (s *script) upstream(name string) UpstreamDump {
	all := s.p.Dump().Upstreams
	return all[slices.IndexFunc(all, func(u UpstreamDump) bool { return u.Name == name })]
}

// on offers requests until one starts on the upstream and returns its ID.
func (s *script) on(name string) string {
	for range 50 {
		id := s.offer("on")
		if start, ok := s.running[id]; ok && start.Upstream.Name == name {
			return id
		}
	}
	s.t.Fatalf("nothing starts on %s", name)
	return ""
}

func (s *script) check(what string, got, want any) {
	s.t.Helper()
	if got != want {
		s.t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
