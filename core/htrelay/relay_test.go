package htrelay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

// Guards against a second run of a call that is not idempotent, a refusal of a call that
// may have run, and an answer given late although it is ready.
func TestServe(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		reactions  []reaction
		status     int
		outcome    htcall.Outcome
		sends      int
	}{
		{"answered", true, []reaction{after(50, ok)}, 200, htcall.Done, 1},
		{"answered, not idempotent", false, []reaction{after(50, ok)}, 200, htcall.Done, 1},
		{"failed, then answered", true, []reaction{after(50, failed), after(50, ok)}, 200, htcall.Done, 2},
		{"failed twice: the upstream's failure is passed on", true, []reaction{after(50, failed)}, 500, htcall.Done, 2},
		{"failed, not idempotent", false, []reaction{after(50, failed), after(50, ok)}, 500, htcall.Done, 1},
		{"reset, then answered", true, []reaction{after(50, reset), after(50, ok)}, 200, htcall.Done, 2},
		{"reset, not idempotent", false, []reaction{after(50, reset), after(50, ok)}, 502, htcall.Unknown, 1},
		{"refused, then answered", false, []reaction{after(5, notRun), after(50, ok)}, 200, htcall.Done, 2},
		{"another upstream's address", false, []reaction{after(5, moved), after(50, ok)}, 200, htcall.Done, 2},
		{"refused everywhere", false, []reaction{after(5, notRun)}, 503, htcall.NotRun, 3},
		{"no connection, then answered", false, []reaction{after(5, unsent), after(50, ok)}, 200, htcall.Done, 2},
		{"no connection anywhere", true, []reaction{after(5, unsent)}, 503, htcall.NotRun, 3},
		{"refused, then reset", false, []reaction{after(5, notRun), after(5, reset)}, 502, htcall.Unknown, 2},
		{"reset, then refused", true, []reaction{after(5, reset), after(5, notRun)}, 502, htcall.Unknown, 3},
		{"silent, not idempotent", false, []reaction{silence}, 504, htcall.Unknown, 1},
		{"silent, then another answers", true, []reaction{silence, after(50, ok)}, 200, htcall.Done, 2},
		{"late but ready", false, []reaction{after(900, ok)}, 200, htcall.Done, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(tt.idempotent, tt.reactions...)
			answer := w.serve(t.Context())
			if answer.Status != tt.status || answer.Outcome != tt.outcome {
				t.Errorf("%s: status %d, outcome %s, want %d, %s", tt.name, answer.Status, answer.Outcome, tt.status, tt.outcome)
			}
			if sent := w.sender.sends(); len(sent) != tt.sends {
				t.Errorf("%s: sent to %v, want %d sends", tt.name, sent, tt.sends)
			}
			if answer.Status == http.StatusServiceUnavailable && answer.RetryAfter <= 0 {
				t.Errorf("%s: the refusal does not say when to come back", tt.name)
			}
			time.Sleep(time.Second) // sends that nobody waits for end
		})
	}
}

// Guards against refusals that are held back although nothing can serve the call.
func TestRefusalIsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true, after(50, ok))
		for i := range 3 {
			w.relay.ObserveRemote(time.Now(), htselect.Observation{Upstream: htcatalog.RefOf(fmt.Sprintf("u%d", i)), Down: true})
		}
		begun := time.Now()
		answer := w.serve(t.Context())
		if answer.Status != http.StatusServiceUnavailable || time.Since(begun) > 0 || answer.RetryAfter <= 0 {
			t.Errorf("status %d after %v, come back after %v", answer.Status, time.Since(begun), answer.RetryAfter)
		}
	})
}

// Guards against waiting for an upstream that became slow or went down under the call.
func TestSecondUpstreamWhenTheFirstChanges(t *testing.T) {
	tests := []struct {
		name  string
		news  htselect.Observation
		sends int
	}{
		{"much slower", htselect.Observation{WorkTimePercent: 800, Slots: 2}, 2},
		{"down", htselect.Observation{Down: true}, 2},
		{"as before", htselect.Observation{WorkTimePercent: 100, Slots: 2}, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(true, after(110, ok), after(40, ok))
			for i := range 3 {
				w.relay.ObserveRemote(time.Now(), htselect.Observation{Upstream: htcatalog.RefOf(fmt.Sprintf("u%d", i)), WorkTimePercent: 100, Slots: 2})
			}
			go func() {
				time.Sleep(20 * time.Millisecond)
				w.prober.set(w.sender.sends()[0], tt.news)
			}()
			begun := time.Now()
			answer := w.serve(t.Context())
			if sent := w.sender.sends(); answer.Status != http.StatusOK || len(sent) != tt.sends {
				t.Errorf("%s: status %d after %d sends, want %d", tt.name, answer.Status, len(sent), tt.sends)
			}
			if tt.sends > 1 && time.Since(begun) > watchFloor+45*time.Millisecond {
				t.Errorf("%s: answered after %v", tt.name, time.Since(begun))
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against upstreams that go on working for a caller that left, and against a call
// that took effect half way because its caller left.
func TestCallerLeaves(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		canceled   int
	}{{"idempotent", true, 1}, {"not idempotent", false, 0}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(tt.idempotent, after(500, ok))
			ctx, leave := context.WithTimeout(t.Context(), 30*time.Millisecond)
			defer leave()
			begun := time.Now()
			w.serve(ctx)
			if time.Since(begun) != 30*time.Millisecond {
				t.Errorf("%s: ended after %v", tt.name, time.Since(begun))
			}
			time.Sleep(time.Second)
			if n := w.sender.cancels(); n != tt.canceled {
				t.Errorf("%s: %d sends canceled, want %d", tt.name, n, tt.canceled)
			}
		})
	}
}

// Guards against upstreams that get more time than the caller has left.
func TestUpstreamGetsTheCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true, after(300, reset), after(50, ok))
		begun := time.Now()
		w.serve(t.Context())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		w.sender.mu.Lock()
		defer w.sender.mu.Unlock()
		for i, d := range w.sender.deadlines {
			if d.Sub(begun) != time.Second {
				t.Errorf("send %d may take until %v", i, d.Sub(begun))
			}
		}
	})
}

// Guards against a request that crashes one upstream after the other, and against taking
// lost answers, or paths that are cut, for crashes.
func TestCrashingRequestIsRefused(t *testing.T) {
	tests := []struct {
		name    string
		crash   bool // the upstream is gone afterwards
		hush    bool // the upstream says nothing afterwards
		blocked bool
	}{
		{"upstreams are gone afterwards", true, false, true},
		{"upstreams say nothing afterwards", false, true, false},
		{"upstreams go on", false, false, false},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(false, after(5, reset))
			w.sender.crash, w.sender.hush = tt.crash, tt.hush
			w.sender.prober = w.prober
			for range crashThreshold {
				w.serve(t.Context())
				time.Sleep(2 * probeTimeout) // the upstream is asked whether it is there
			}
			before := len(w.sender.sends())
			answer := w.serve(t.Context())
			if blocked := answer.Reason == htcall.ReasonQuarantined; blocked != tt.blocked {
				t.Errorf("%s: answer %d %s", tt.name, answer.Status, answer.Reason)
			}
			if tt.blocked && len(w.sender.sends()) != before {
				t.Errorf("%s: the request was sent again", tt.name)
			}
			other := New(nil, nil, nil, nil, time.Now)
			other.MergeCrashes(w.relay.RecentCrashes())
			call := &Call{Method: http.MethodGet, Host: "h", URI: "/x/"}
			if other.crashes.blocked(time.Now(), call.fingerprint()) != tt.blocked {
				t.Errorf("%s: another host does not agree", tt.name)
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against a proper request that is refused for minutes because the failure domain in
// which its two sends were under way lost power, and against one that goes on crashing
// upstreams because they are in one failure domain.
func TestLostDomainIsNoCrashOfTheRequest(t *testing.T) {
	upstream := func(id, domain string) htcatalog.Upstream { return htcatalog.Upstream{ID: id, Domain: domain} }
	tests := []struct {
		name   string
		second htcatalog.Upstream
		later  time.Duration // than the first crash
		want   bool          // blocked
	}{
		{"at once in the same domain", upstream("u1", "a"), 10 * time.Millisecond, false},
		{"at once in another domain", upstream("u1", "b"), 10 * time.Millisecond, true},
		{"later in the same domain", upstream("u1", "a"), domainLoss, true},
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		c := newCrashes()
		first := upstream("u0", "a")
		c.broke(now, 5, first)
		c.gone(now, first.Ref())
		now = now.Add(tt.later)
		c.broke(now, 5, tt.second)
		c.gone(now, tt.second.Ref())
		if got := c.blocked(now, 5); got != tt.want {
			t.Errorf("%s: blocked %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Guards against messages that outgrow a datagram after many crashes, against counting one
// crash twice because two hosts or two callers saw it, and against telling it for ever.
func TestCrashNews(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newCrashes(), newCrashes()
	lost := htcatalog.Upstream{ID: "u7", Domain: "a"}
	for i := range 50 {
		for _, c := range []*crashes{a, a, b} {
			c.broke(now, uint64(i), lost)
		}
		a.gone(now, lost.Ref())
		b.gone(now.Add(time.Millisecond), lost.Ref())
		b.quarantine.Merge(now, a.recent(now))
		if a.blocked(now, uint64(i)) || b.blocked(now, uint64(i)) {
			t.Fatalf("request %d is blocked after one crash", i)
		}
	}
	if n := len(a.recent(now)); n != maxCrashNews {
		t.Errorf("%d crashes are told, want %d", n, maxCrashNews)
	}
	if n := len(a.recent(now.Add(crashNews + time.Second))); n != 0 {
		t.Errorf("%d crashes are told after %v", n, crashNews)
	}
}
