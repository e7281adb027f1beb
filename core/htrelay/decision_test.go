package htrelay

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

// Guards against steps of a call that are not reported, so that the log can't explain a
// failed call.
func TestDecisionsAreReported(t *testing.T) {
	full := htselect.Observation{WorkTimePercent: 100, Slots: 2, Running: 2}
	tests := []struct {
		name       string
		idempotent bool
		report     htselect.Observation // of all upstreams; zero: idle
		reactions  []reaction
		steps      []string
	}{
		{"answered", true, htselect.Observation{}, []reaction{after(50, ok)}, []string{"send first"}},
		{
			"failed, then answered", true,
			htselect.Observation{},
			[]reaction{after(50, failed), after(50, ok)},
			[]string{"send first", "htrelay.Answered", "send failed"},
		},
		{
			"refused, then answered", false,
			htselect.Observation{},
			[]reaction{after(5, notRun), after(50, ok)},
			[]string{"send first", "htrelay.Refused", "send refused"},
		},
		{
			"no connection, then answered", false,
			htselect.Observation{},
			[]reaction{after(5, unsent), after(50, ok)},
			[]string{"send first", "htrelay.NotSent", "send unsent"},
		},
		{
			"reset, must not run twice", false,
			htselect.Observation{},
			[]reaction{after(50, reset)},
			[]string{"send first", "htrelay.Broken", "no retry " + noRetryAttempts},
		},
		{
			"no answer, then hedged", true,
			htselect.Observation{},
			[]reaction{noAnswer, after(50, ok)},
			[]string{"send first", "send hedge", "htrelay.Broken"},
		},
		{"all full", true, full, []reaction{after(50, ok)}, []string{"wait queue-full"}},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(tt.idempotent, tt.reactions...)
			if tt.report.Slots > 0 {
				for _, id := range []string{"u0", "u1", "u2"} {
					w.prober.set(id, tt.report)
				}
			}
			w.serve(t.Context())
			time.Sleep(time.Second)
			if steps := w.events.steps(); !slices.Equal(steps, tt.steps) {
				t.Errorf("%s: reported %q, want %q", tt.name, steps, tt.steps)
			}
		})
	}
}

// Guards against refusals that don't report why the upstreams could not take the call.
func TestRefusalReportsTheStateOfTheUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(true, after(50, ok))
		w.prober.set("u0", htselect.Observation{Down: true})
		w.prober.set("u1", htselect.Observation{WorkTimePercent: 100, Slots: 2, Running: 2})
		w.prober.set("u2", htselect.Observation{WorkTimePercent: 100, Slots: 2, Running: 2})
		answer := w.serve(t.Context())
		// The weight of a report decays from the time at which it was made, so a full
		// upstream counts as full at that time and as busy afterwards.
		got := answer.Trace.UpstreamCounts
		got.Busy, got.Full = got.Busy+got.Full, 0
		want := htselect.UpstreamCounts{Upstreams: 3, Down: 1, Busy: 2}
		if answer.Outcome != htcall.NotRun || got != want {
			t.Errorf("outcome %s, upstreams %+v, want %+v", answer.Outcome, got, want)
		}
	})
}

// Guards against the loss, return or cold start of an upstream that is not reported.
func TestUpstreamChangesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(true, after(50, ok))
		ref := htcatalog.RefOf("u0")
		for _, o := range []htselect.Observation{
			{WorkTimePercent: 100, Slots: 2},
			{Down: true},
			{Down: true},
			{WorkTimePercent: 90, Slots: 2, Cold: time.Second, ColdKnown: true},
			{WorkTimePercent: 100, Slots: 2, ColdKnown: true},
			{WorkTimePercent: 100, Slots: 2, Unhealthy: true, ColdKnown: true},
		} {
			o.Upstream = ref
			w.relay.ObserveRemote(time.Now(), o)
		}
		want := []string{"u0 usable-down", "u0 down-cold", "u0 cold-usable", "u0 usable-ill"}
		if !slices.Equal(w.events.changes, want) {
			t.Errorf("reported %q, want %q", w.events.changes, want)
		}
	})
}

// Guards against an unknown outcome without the fingerprint by which later crash counts
// name the request.
func TestBrokenCallReportsItsFingerprint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(false, after(50, Broken{Err: errors.New("reset"), Reset: true}))
		answer := w.serve(t.Context())
		if answer.Status != http.StatusBadGateway || answer.Trace.Fingerprint == "" {
			t.Errorf("status %d, fingerprint %q", answer.Status, answer.Trace.Fingerprint)
		}
	})
}
