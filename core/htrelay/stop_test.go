package htrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

// Guards against calls that a stopping host takes late and cuts without an answer.
func TestStoppingHostTakesNoCallThatItWouldCut(t *testing.T) {
	const work = 50 * time.Millisecond
	tests := []struct {
		name     string
		left     time.Duration // until calls are cut; 0: no stop
		status   int
		deadline time.Duration // that the upstream is told
	}{
		{"no stop", 0, 200, time.Second},
		{"cut after the deadline", 2 * time.Second, 200, time.Second},
		{"enough time", 400 * time.Millisecond, 200, 400 * time.Millisecond},
		{"too little time", work, 503, 0},
		{"cut already", -work, 503, 0},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(false, after(int(work.Milliseconds()), ok))
			for range 50 { // the usual work time is learned from answers
				w.serve(t.Context())
			}
			before := len(w.sender.sends())
			start := time.Now()
			if tt.left != 0 {
				w.relay.CutAt(start.Add(tt.left))
			}
			answer := w.serve(t.Context())
			if answer.Status != tt.status {
				t.Errorf("%s: status %d (%s), want %d", tt.name, answer.Status, answer.Reason, tt.status)
			}
			switch sent := len(w.sender.sends()) - before; {
			case tt.status == 200 && sent == 1:
				if got := w.sender.deadlines[before].Sub(start); got != tt.deadline {
					t.Errorf("%s: the upstream was told a deadline of %v, want %v", tt.name, got, tt.deadline)
				}
			case tt.status != 200 && (sent != 0 || answer.Outcome != htcall.NotRun || answer.Reason != htcall.ReasonStopping || time.Since(start) > 0):
				t.Errorf("%s: %d sends, outcome %s (%s) after %v", tt.name, sent, answer.Outcome, answer.Reason, time.Since(start))
			}
		})
	}
}

// Guards against calls that wait for an upstream until a stopping host cuts them, although it
// could tell their callers that they have not run.
func TestWaitingCallsAreRefusedBeforeTheCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(false, after(50, ok))
		for _, id := range []string{"u0", "u1", "u2"} {
			w.prober.set(id, htselect.Observation{Running: 2, Slots: 2, WorkTimePercent: 100})
			w.relay.ObserveRemote(time.Now(), htselect.Observation{Upstream: htcatalog.RefOf(id), Running: 2, Slots: 2, WorkTimePercent: 100})
		}
		const cut = 150 * time.Millisecond
		start := time.Now()
		w.relay.CutAt(start.Add(cut))
		answer := w.serve(t.Context())
		if took := time.Since(start); answer.Outcome != htcall.NotRun || answer.Status != 503 || took >= cut {
			t.Errorf("status %d (%s) after %v, want a refusal before %v", answer.Status, answer.Reason, took, cut)
		}
	})
}
