package htrelay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htselect"
)

// Guards against calls that are sent to an upstream which says that it is slow, full, cold
// or ill while another one is free.
func TestAsksBeforeSending(t *testing.T) {
	tests := []struct {
		name string
		says htselect.Observation // of all upstreams but u2
	}{
		{"slow", htselect.Observation{WorkTimePercent: 400, Slots: 2}},
		{"full", htselect.Observation{WorkTimePercent: 100, Running: 2, Waiting: 4, Slots: 2}},
		{"ill", htselect.Observation{WorkTimePercent: 100, Slots: 2, Unhealthy: true}},
		{"gone", htselect.Observation{Down: true}},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(false, after(50, ok))
			w.prober.set("u0", tt.says)
			w.prober.set("u1", tt.says)
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

// Guards against calls that are held up by an upstream which does not answer a question,
// and against telling other hosts that it is gone: it may be out of reach of this host only.
func TestSilentUpstreamHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true, after(50, ok))
		w.prober.silent["u0"] = true
		w.prober.silent["u1"] = true
		for i := range 20 {
			begun := time.Now()
			answer := w.serve(t.Context())
			if took := time.Since(begun); answer.Status != http.StatusOK || took > 50*time.Millisecond+askRounds*askLimit {
				t.Errorf("call %d: status %d after %v", i, answer.Status, took)
			}
		}
		time.Sleep(time.Second)
		if w.events.gone > 0 {
			t.Errorf("%d upstreams were told to be gone", w.events.gone)
		}
	})
}
