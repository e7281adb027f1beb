package htselect

import (
	"fmt"
	"testing"
	"time"

	"hawthornturn/core/htcatalog"
)

// Guards against exceeding the probe limit, summed over all hosts, while every host has far
// more calls than it may probe for.
func TestProbesStayWithinTheBound(t *testing.T) {
	tests := []struct{ hosts, upstreams int }{{16, 13}, {1, 3}, {120, 400}}
	for _, tt := range tests {
		c := catalog(tt.upstreams, nil)
		probed := 0
		const seconds = 5
		for h := range tt.hosts {
			s := newSelector(uint64(h), fixedGroup{tt.hosts, h}, c)
			for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(4 * time.Millisecond) {
				probed += len(s.ProbeTargets(now, lookup(), "stock", nil, 3))
			}
		}
		// Each host starts with the tokens of one second.
		if bound := 60 * tt.upstreams * (seconds + 1); probed > bound {
			t.Errorf("%d hosts, %d upstreams: %d probes in %d s, bound %d", tt.hosts, tt.upstreams, probed, seconds, bound)
		}
	}
}

// Guards against upstreams outside the aperture of every host while all hosts have good
// ones, and against hosts that hold connections to all upstreams of a large service.
func TestApertureCoversAllUpstreams(t *testing.T) {
	const hosts, upstreams = 120, 170
	c := catalog(upstreams, func(i int, u *htcatalog.Upstream) { u.Domain = string(rune('a' + i%4)) })
	probed := map[string]int{}
	for h := range hosts {
		s := New(string(rune('a'+h%4)), fixedGroup{hosts, h}, Limits{Retry: limit, ProbesPerSecond: 60}, newRand(uint64(h)))
		s.Apply(start, c)
		own := map[string]bool{}
		for i := range 60 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			for _, u := range s.ProbeTargets(now, lookup(), "stock", nil, 3) {
				own[u.ID] = true
				s.Observe(now, report(u.ID, 100, 0))
			}
		}
		if len(own) > 2*minAperture {
			t.Errorf("host %d probes %d upstreams", h, len(own))
		}
		for id := range own {
			probed[id]++
		}
	}
	for i := range upstreams {
		if id := fmt.Sprintf("u%d", i); probed[id] == 0 {
			t.Errorf("no host probes %s", id)
		}
	}
}

// Guards against probing unresponsive upstreams without backoff, and against never probing
// them again.
func TestDownUpstreamIsProbedLess(t *testing.T) {
	s := newSelector(1, fixedGroup{1, 0}, catalog(1, nil))
	probed := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for range s.ProbeTargets(now, lookup(), "stock", nil, 3) {
			probed++
			s.Observe(now, Observation{Upstream: htcatalog.RefOf("u0"), Down: true})
		}
		if got := choose(s, now); probed > 0 && got == "u0" {
			t.Fatalf("a call was sent to an upstream that is down")
		}
	}
	if probed < 4 || probed > 8 {
		t.Errorf("%d probes in 10 s", probed)
	}
}

// Guards against preferring a stale report to the fresh report of another upstream.
func TestFreshReportGoesFirst(t *testing.T) {
	s := newSelector(1, fixedGroup{16, 0}, catalog(2, func(_ int, u *htcatalog.Upstream) { u.Domain = "a" }))
	s.Observe(start, report("u0", 100, 0))
	now := start.Add(freshAge + 10*time.Millisecond)
	s.Observe(now, report("u1", 150, 0))
	choice, refused := s.Choose(now, lookup(), "stock", time.Second, nil)
	if refused != nil || choice.Upstream.ID != "u1" || !choice.Fresh() {
		t.Errorf("chose %+v, %+v", choice, refused)
	}
}

// Guards against calls to upstreams of a lost failure domain until the probes to them time
// out: a probe that is not answered promptly must lower the rank of its upstream.
func TestUnresponsiveUpstreamsComeLast(t *testing.T) {
	s := newSelector(1, fixedGroup{size: 1}, catalog(4, nil))
	now := start
	for _, id := range []string{"u0", "u1", "u2", "u3"} {
		s.Observe(now, report(id, 100, 0))
	}
	now = now.Add(200 * time.Millisecond) // no report is fresh
	for _, u := range s.ProbeTargets(now, lookup(), "stock", []string{"u1", "u3"}, 2) {
		if u.Domain != "a" {
			t.Fatalf("probed %s", u.ID)
		}
	}
	if got := choose(s, now); got != "u0" && got != "u2" {
		t.Errorf("chose %s while the probes are pending, want an upstream of the own failure domain", got)
	}
	now = now.Add(2 * probeAnswerTime)
	if got := choose(s, now); got != "u1" && got != "u3" {
		t.Errorf("chose %s, which did not answer its probe", got)
	}
	s.Observe(now, report("u0", 100, 0))
	if got := choose(s, now); got != "u0" {
		t.Errorf("chose %s although u0 has answered", got)
	}
}

// Guards against choosing by stale reports in an overload: a host that sent few probes for
// a while may send more now, and the mean rate stays within the limit.
func TestUnspentQuestionsAreSavedUp(t *testing.T) {
	s := newSelector(1, fixedGroup{size: 4}, catalog(8, nil))
	rate := s.allowance(start)
	now := start
	spent := func() int {
		n := 0
		for s.spendProbe(now) {
			n++
		}
		return n
	}
	if n := spent(); float64(n) > rate {
		t.Errorf("a starting host may send %d probes at once, more than the %.0f of a second", n, rate)
	}
	now = now.Add(4 * time.Second)
	if n := spent(); float64(n) < 3.9*rate || float64(n) > 4*rate {
		t.Errorf("%d probes after four idle seconds, want %.0f", n, 4*rate)
	}
	now = now.Add(time.Hour)
	if n := spent(); float64(n) > rate*probeBurst.Seconds() {
		t.Errorf("%d probes after an hour, want at most those of %v", n, probeBurst)
	}
}
