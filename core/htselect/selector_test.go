package htselect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
)

var start = time.Unix(1000, 0)

// fixedGroup is a group in which this host has the same rank for all keys.
type fixedGroup struct{ size, rank int }

func (g fixedGroup) Size(time.Time) int { return g.size }

func (g fixedGroup) RankAll(uint64) int { return g.rank }

var limit = RetryLimit{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}

func lookup() *htcatalog.Route {
	return &htcatalog.Route{
		Name: "lookup", Host: "h", Prefix: "/l/", Idempotent: true, Timeout: time.Second,
		Target: 200 * time.Millisecond, Attempts: 2, Parts: []htcatalog.Part{{Service: "stock", Weight: 1}},
	}
}

// catalog returns n upstreams of one service, spread over failure domains a and b.
func catalog(n int, edit func(i int, u *htcatalog.Upstream)) *htcatalog.Catalog {
	config := &htcatalog.Config{
		Version:  1,
		Routes:   []htcatalog.Route{*lookup()},
		Services: []htcatalog.Service{{Name: "stock", ColdPerSecond: 12}},
	}
	var list []htcatalog.Upstream
	for i := range n {
		u := htcatalog.Upstream{
			ID: fmt.Sprintf("u%d", i), Service: "stock", Address: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: string(rune('a' + i%2)), Slots: 3,
		}
		if edit != nil {
			edit(i, &u)
		}
		list = append(list, u)
	}
	return htcatalog.New(config, list, map[string]bool{})
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func newSelector(seed uint64, group Group, c *htcatalog.Catalog) *Selector {
	s := New("a", group, Limits{Retry: limit, ProbesPerSecond: 60}, newRand(seed))
	s.Apply(start, c)
	return s
}

func report(id string, speed, running int) Observation {
	return Observation{Upstream: htcatalog.RefOf(id), WorkTimePercent: speed, Running: running, Slots: 3}
}

// choose returns the id of the chosen upstream, or the reason why there is none.
func choose(s *Selector, now time.Time, tried ...string) string {
	c, refused := s.Choose(now, lookup(), "stock", time.Second, tried)
	if refused != nil {
		return string(refused.Reason)
	}
	return c.Upstream.ID
}

// Guards against calls to upstreams that are slow, busy, failing or excluded.
func TestChoose(t *testing.T) {
	tests := []struct {
		name  string
		edit  func(i int, u *htcatalog.Upstream)
		setup func(s *Selector)
		tried []string
		want  string
	}{
		{"the fastest one", nil, func(s *Selector) {
			s.Observe(start, report("u0", 400, 0))
			s.Observe(start, report("u1", 100, 0))
		}, nil, "u1"},
		{"slower one rather than a fast one with a long queue", nil, func(s *Selector) {
			s.Observe(start, report("u0", 100, 5))
			s.Observe(start, report("u1", 150, 0))
		}, nil, "u1"},
		{"not one already tried", nil, func(s *Selector) {
			s.Observe(start, report("u0", 400, 0))
		}, []string{"u1"}, "u0"},
		{"not a draining one", func(i int, u *htcatalog.Upstream) { u.Draining = i == 0 }, nil, nil, "u1"},
		{"not one that is down", nil, func(s *Selector) {
			s.Observe(start, Observation{Upstream: htcatalog.RefOf("u1"), Down: true})
		}, nil, "u0"},
		{"not one that reports itself unhealthy unless the others are late", nil, func(s *Selector) {
			s.Observe(start, Observation{Upstream: htcatalog.RefOf("u0"), Unhealthy: true, WorkTimePercent: 100, Slots: 3})
			s.Observe(start, report("u1", 300, 0))
		}, nil, "u1"},
		{"not one that failed repeatedly", nil, func(s *Selector) {
			s.Observe(start, report("u0", 100, 0))
			s.Observe(start, report("u1", 200, 0))
			for range 3 {
				s.AddFault(start, Fault{Upstream: htcatalog.RefOf("u0"), Weight: FaultError})
			}
		}, nil, "u1"},
		{"none if all are full", nil, func(s *Selector) {
			s.Observe(start, report("u0", 100, 9))
			s.Observe(start, report("u1", 100, 9))
		}, nil, string(htcall.ReasonQueueFull)},
		{"none if all are draining", func(_ int, u *htcatalog.Upstream) { u.Draining = true }, nil, nil, string(htcall.ReasonNoUpstream)},
	}
	for _, tt := range tests {
		s := newSelector(1, fixedGroup{16, 0}, catalog(2, tt.edit))
		if tt.setup != nil {
			tt.setup(s)
		}
		if got := choose(s, start, tt.tried...); got != tt.want {
			t.Errorf("%s: chose %q, want %q", tt.name, got, tt.want)
		}
	}
}

// Guards against calls to a failure domain that operators took out of service.
func TestNoCallsToADomainTakenOut(t *testing.T) {
	c := catalog(6, nil)
	s := newSelector(1, fixedGroup{16, 0}, htcatalog.New(c.Config, c.Upstreams, map[string]bool{"a": true}))
	for range 50 {
		choice, refused := s.Choose(start, lookup(), "stock", time.Second, nil)
		if refused != nil || choice.Upstream.Domain != "b" {
			t.Fatalf("chose %+v, %+v", choice, refused)
		}
		s.Sent(start, choice)
		s.Ended(choice)
	}
}

// Guards against all hosts choosing the upstream with the newest report: calls then queue
// at one upstream while others are idle.
func TestHostsSpreadTheirCalls(t *testing.T) {
	const hosts, upstreams = 16, 12
	chosen := map[string]int{}
	for h := range hosts {
		s := newSelector(uint64(h), fixedGroup{hosts, h}, catalog(upstreams, func(_ int, u *htcatalog.Upstream) { u.Domain = "a" }))
		for i := range upstreams {
			s.Observe(start.Add(time.Duration(i)*time.Millisecond), report(fmt.Sprintf("u%d", i), 100, 0))
		}
		chosen[choose(s, start.Add(60*time.Millisecond))]++
	}
	for id, n := range chosen {
		if n > 5 {
			t.Errorf("%d of %d hosts chose %s", n, hosts, id)
		}
	}
}

// Guards against exceeding the cold limit of an upstream in any second, summed over all
// hosts.
func TestColdLimitHoldsOverAllHosts(t *testing.T) {
	const hosts, perSecond = 16, 12
	c := catalog(1, func(_ int, u *htcatalog.Upstream) { u.ColdLeft = 5 * time.Second })
	list := make([]*Selector, hosts)
	for h := range list {
		list[h] = newSelector(uint64(h), fixedGroup{hosts, h}, c)
	}
	var sent []time.Time
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for _, s := range list {
			choice, refused := s.Choose(now, lookup(), "stock", time.Second, nil)
			if refused != nil {
				continue
			}
			s.Sent(now, choice)
			s.Ended(choice)
			sent = append(sent, now)
		}
	}
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		if n > perSecond {
			t.Fatalf("%d calls in the second starting at %v, want at most %d", n, from.Sub(start), perSecond)
		}
	}
	if len(sent) < perSecond*4 {
		t.Errorf("only %d calls in 5 s", len(sent))
	}
}

// Guards against full traffic to an upstream that became cold again without notice.
func TestColdReportLimitsAtOnce(t *testing.T) {
	s := newSelector(1, fixedGroup{16, 15}, catalog(1, nil))
	if got := choose(s, start); got != "u0" {
		t.Fatalf("chose %q", got)
	}
	o := report("u0", 100, 0)
	o.ColdKnown, o.Cold = true, 2*time.Second
	s.Observe(start, o)
	if got := choose(s, start); got != string(htcall.ReasonColdLimit) {
		t.Errorf("chose %q on a host that may not send to it", got)
	}
	if got := choose(s, start.Add(2*time.Second)); got != "u0" {
		t.Errorf("chose %q after the cold start", got)
	}
}

// Guards against more retries in any window than the platform allows, summed over all
// hosts, under a load that retries every call.
func TestRetryBudgetHoldsOverAllHosts(t *testing.T) {
	tests := []struct {
		hosts     int
		perSecond int // calls to the service
	}{{16, 227}, {16, 28}, {14, 10}, {120, 400}}
	for _, tt := range tests {
		list := make([]*Selector, tt.hosts)
		for h := range list {
			list[h] = newSelector(uint64(h), fixedGroup{tt.hosts, h}, catalog(1, nil))
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for i := range tt.perSecond * 40 {
			now := start.Add(time.Duration(i) * time.Second / time.Duration(tt.perSecond))
			s := list[(i*7)%tt.hosts]
			s.ChooseService(now, lookup())
			events = append(events, event{now, false})
			if s.Retry(now, "stock") {
				events = append(events, event{now, true})
			}
		}
		for i := 0; i < len(events); i += 50 {
			first, retries := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(events[i].at) >= limit.Window {
					break
				}
				if e.retry {
					retries++
				} else {
					first++
				}
			}
			// The window at the end contains too few calls, so the first attempts before it
			// count.
			first = max(first, tt.perSecond*10)
			if bound := limit.Ratio*float64(first) + limit.Extra; float64(retries) > bound {
				t.Errorf("%d hosts, %d/s: %d retries in a window with %d calls, bound %.0f", tt.hosts, tt.perSecond, retries, first, bound)
				break
			}
		}
	}
}

// Guards against shares of a split route that differ from its weights.
func TestPartsGetTheirWeights(t *testing.T) {
	route := lookup()
	route.Parts = []htcatalog.Part{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}
	got := map[string]int{}
	const hosts, calls = 16, 20
	for h := range hosts {
		s := newSelector(uint64(h), fixedGroup{hosts, h}, catalog(1, nil))
		for range calls {
			got[s.ChooseService(start, route)]++
		}
	}
	if n := got["two"]; n < 22 || n > 42 {
		t.Errorf("%d of %d calls went to the part of weight 10 in 100", n, hosts*calls)
	}
}

// Guards against avoiding an upstream forever after it failed.
func TestFaultsAreForgotten(t *testing.T) {
	s := newSelector(1, fixedGroup{16, 0}, catalog(2, func(_ int, u *htcatalog.Upstream) { u.Domain = "a" }))
	for range 5 {
		s.AddFault(start, Fault{Upstream: htcatalog.RefOf("u0"), Weight: FaultError})
	}
	later := start.Add(5 * faultDecay)
	chosen := map[string]int{}
	for range 40 {
		chosen[choose(s, later)]++
	}
	if chosen["u0"] == 0 {
		t.Errorf("the upstream is still avoided after %v: %v", 5*faultDecay, chosen)
	}
}

// Guards against reports that arrive out of order.
func TestOlderReportIsIgnored(t *testing.T) {
	s := newSelector(1, fixedGroup{16, 0}, catalog(2, nil))
	s.Observe(start, report("u0", 400, 0))
	s.Observe(start.Add(-time.Millisecond), report("u0", 100, 0))
	s.Observe(start, report("u1", 200, 0))
	if got := choose(s, start); got != "u1" {
		t.Errorf("chose %q using an older report", got)
	}
}

// Guards against keeping the state of the former process of an upstream that restarts under
// the same id.
func TestNewIncarnationStartsAnew(t *testing.T) {
	s := newSelector(1, fixedGroup{16, 0}, catalog(1, nil))
	s.Observe(start, Observation{Upstream: htcatalog.RefOf("u0"), Down: true})
	s.Apply(start, catalog(1, func(_ int, u *htcatalog.Upstream) { u.Started = 7 }))
	if got := choose(s, start); got != "u0" {
		t.Errorf("chose %q after the restart", got)
	}
}

// Guards against treating a cold upstream as warm because an answer, which reports only the
// load, says nothing about the cold start.
func TestAnswerDoesNotEndColdStart(t *testing.T) {
	s := newSelector(1, fixedGroup{16, 15}, catalog(1, nil))
	probed := report("u0", 100, 0)
	probed.ColdKnown, probed.Cold = true, 2*time.Second
	s.Observe(start, probed)
	s.Observe(start.Add(100*time.Millisecond), report("u0", 100, 1))
	if got := choose(s, start.Add(200*time.Millisecond)); got != string(htcall.ReasonColdLimit) {
		t.Errorf("chose %q", got)
	}
	if sent, _ := s.Report(htcatalog.RefOf("u0")); sent.Cold != 1900*time.Millisecond {
		t.Errorf("other hosts are sent a cold start of %v", sent.Cold)
	}
	warm := report("u0", 100, 1)
	warm.ColdKnown = true
	s.Observe(start.Add(300*time.Millisecond), warm)
	if got := choose(s, start.Add(300*time.Millisecond)); got != "u0" {
		t.Errorf("chose %q after the upstream reported that it is warm", got)
	}
}

// Guards against failed calls that can't be retried because hedges used up the budget.
func TestHedgesLeaveTokensForFailures(t *testing.T) {
	s := newSelector(1, fixedGroup{16, 0}, catalog(1, nil))
	for i := range 200 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		s.ChooseService(now, lookup())
		s.Hedge(now, "stock")
	}
	if !s.Retry(start.Add(2*time.Second), "stock") {
		t.Error("no token is left for a failed call")
	}
}
