package htrelay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htselect"
)

// Guards against calls to an upstream that reports itself slow, full or unhealthy, or is
// gone, while another one is free.
func TestProbesBeforeSending(t *testing.T) {
	tests := []struct {
		name   string
		report htselect.Observation // of all upstreams but u2
	}{
		{"slow", htselect.Observation{WorkTimePercent: 400, Slots: 2}},
		{"full", htselect.Observation{WorkTimePercent: 100, Running: 2, Waiting: 4, Slots: 2}},
		{"ill", htselect.Observation{WorkTimePercent: 100, Slots: 2, Unhealthy: true}},
		{"gone", htselect.Observation{Down: true}},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(false, after(50, ok))
			w.prober.set("u0", tt.report)
			w.prober.set("u1", tt.report)
			for range 10 {
				w.serve(t.Context())
			}
			for _, id := range w.sender.sends() {
				if id != "u2" {
					t.Errorf("%s: sent to %s", tt.name, id)
				}
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against calls delayed by an upstream that does not answer a probe, and against
// reporting it as gone to other hosts: it may be unreachable from this host only.
func TestUnresponsiveUpstreamDelaysNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(true, after(50, ok))
		w.prober.silent["u0"] = true
		w.prober.silent["u1"] = true
		for i := range 20 {
			start := time.Now()
			answer := w.serve(t.Context())
			if took := time.Since(start); answer.Status != http.StatusOK || took > 50*time.Millisecond+probeRounds*probeWait {
				t.Errorf("call %d: status %d after %v", i, answer.Status, took)
			}
		}
		time.Sleep(time.Second)
		if w.events.gone > 0 {
			t.Errorf("%d upstreams were reported as gone", w.events.gone)
		}
	})
}
