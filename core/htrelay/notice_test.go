package htrelay

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htselect"
)

// Guards against calls to upstreams that asked for none, and against an answer with such a
// notice that is not passed on.
func TestNoticesOfUpstreams(t *testing.T) {
	leaving := htselect.Notice{Leaving: true}
	pause := htselect.Notice{Pause: 2 * time.Second}
	tests := []struct {
		name   string
		first  Reply
		after  time.Duration // between the two calls
		event  string
		repeat bool // the second call may go to the upstream of the first
	}{
		{"leaving in an answer", Answered{Status: http.StatusOK, Notice: leaving}, time.Hour, " leaving", false},
		{"leaving in a refusal", Refused{Notice: leaving}, time.Hour, " leaving", false},
		{"pause in a refusal", Refused{Notice: pause}, time.Second, " paused 2s", false},
		{"pause in an answer", Answered{Status: http.StatusServiceUnavailable, Notice: pause}, time.Second, " paused 2s", false},
		{"pause is over", Refused{Notice: pause}, 3 * time.Second, " paused 2s", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(true, after(10, tt.first), after(10, ok))
				w.route.Attempts = 1
				answer := w.serve(t.Context())
				if answered, is := tt.first.(Answered); is && answer.Status != answered.Status {
					t.Errorf("the caller got status %d, want %d", answer.Status, answered.Status)
				}
				time.Sleep(tt.after)
				noticed := w.sender.sends()[0]
				repeated := false
				for range 30 {
					before := len(w.sender.sends())
					w.serve(t.Context())
					repeated = repeated || slices.Contains(w.sender.sends()[before:], noticed)
				}
				if repeated != tt.repeat {
					t.Errorf("calls went to %s again: %t, want %t", noticed, repeated, tt.repeat)
				}
				if !slices.ContainsFunc(w.events.changes, func(c string) bool { return strings.HasPrefix(c, noticed) && strings.HasSuffix(c, tt.event) }) {
					t.Errorf("events are %q", w.events.changes)
				}
			})
		})
	}
}

// Guards against callers that wait until their deadline although every upstream has asked for
// no calls.
func TestAllPausedIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(false, after(0, ok))
		for i := range 3 {
			w.prober.set([]string{"u0", "u1", "u2"}[i], htselect.Observation{Slots: 2, WorkTimePercent: 100, Notice: htselect.Notice{Pause: time.Duration(i+2) * time.Second}})
		}
		w.serve(t.Context()) // its probes learn of the pauses
		synctest.Wait()
		start := time.Now()
		answer := w.serve(t.Context())
		if answer.Status != http.StatusServiceUnavailable || answer.RetryAfter <= time.Second || answer.RetryAfter > 2*time.Second {
			t.Errorf("status %d, Retry-After %v, want 503 and at most 2s", answer.Status, answer.RetryAfter)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	})
}
