package htselect

import (
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
)

// Guards against calls to an upstream that announced its leaving, also after its row was
// missing for a while, and against a new incarnation that gets none.
func TestLeavingUpstreamGetsNoCalls(t *testing.T) {
	now := time.Now()
	route := lookup()
	s := newSelector(1, fixedGroup{size: 1}, catalog(1, func(_ int, u *htcatalog.Upstream) { u.Started = 1 }))
	u := s.catalog.Upstreams[0]
	of := IncarnationOf(u)
	if s.RecordNotice(now, Incarnation{u.Ref(), u.Started - 1}, Notice{Leaving: true}) {
		t.Error("the leaving of another incarnation was taken for this one's")
	}
	if choice, refused := s.Choose(now, route, u.Service, time.Second, nil); refused != nil || choice.Upstream.ID != u.ID {
		t.Fatalf("not chosen before its leaving: %+v", refused)
	}
	if !s.RecordNotice(now, of, Notice{Leaving: true}) || s.RecordNotice(now, of, Notice{Leaving: true}) {
		t.Error("the leaving is to be reported once")
	}
	check := func(when string, wantChosen bool) {
		t.Helper()
		_, refused := s.Choose(now, route, u.Service, time.Second, nil)
		if probed := len(s.ProbeTargets(now.Add(time.Second), route, u.Service, nil, 1)) > 0; (refused == nil) != wantChosen || probed != wantChosen {
			t.Errorf("%s: chosen %t, probed %t, want %t", when, refused == nil, probed, wantChosen)
		}
	}
	check("after its leaving", false)
	s.Apply(now, htcatalog.New(s.catalog.Config, nil, nil))
	s.Apply(now, htcatalog.New(s.catalog.Config, []htcatalog.Upstream{u}, nil))
	check("after its row came back", false)
	restarted := u
	restarted.Started++
	s.Apply(now, htcatalog.New(s.catalog.Config, []htcatalog.Upstream{restarted}, nil))
	check("after a new start", true)
	s.RecordNotice(now, Incarnation{u.Ref(), u.Started + 2}, Notice{Leaving: true})
	restarted.Started++
	s.Apply(now, htcatalog.New(s.catalog.Config, []htcatalog.Upstream{restarted}, nil))
	check("after the message of another host came before the row", false)
	now = now.Add(leavingMemory + time.Second)
	s.Apply(now, s.catalog)
	if len(s.leaving) != 0 {
		t.Errorf("%d incarnations are remembered after %v", len(s.leaving), leavingMemory)
	}
}

// Guards against calls and probes to an upstream that has asked for a pause, and against
// callers that wait although no upstream wants their call.
func TestPausedUpstreamGetsNoCalls(t *testing.T) {
	now := time.Now()
	route := lookup()
	s := newSelector(1, fixedGroup{size: 1}, catalog(2, nil))
	pauses := []time.Duration{3 * time.Second, 2 * time.Second}
	for i, u := range s.catalog.Upstreams {
		s.RecordNotice(now, IncarnationOf(u), Notice{Pause: pauses[i]})
		s.RecordNotice(now, IncarnationOf(u), Notice{Pause: time.Second}) // does not shorten the pause
	}
	service := s.catalog.Upstreams[0].Service
	_, refused := s.Choose(now, route, service, time.Second, nil)
	if refused == nil || refused.Transient || refused.Reason != htcall.ReasonRefused || refused.RetryAfter != 2*time.Second {
		t.Fatalf("with all upstreams paused: %+v", refused)
	}
	if probed := s.ProbeTargets(now, route, service, nil, 2); len(probed) != 0 {
		t.Errorf("%d paused upstreams are probed", len(probed))
	}
	if counts := s.UpstreamCounts(now, service, nil); counts.Paused != 2 {
		t.Errorf("counts are %+v", counts)
	}
	now = now.Add(2*time.Second + time.Millisecond)
	choice, refused := s.Choose(now, route, service, time.Second, nil)
	if refused != nil || choice.Upstream.ID != s.catalog.Upstreams[1].ID {
		t.Errorf("after the shorter pause: choice %+v, refusal %+v", choice, refused)
	}
}
