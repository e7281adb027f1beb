package htselect

import (
	"testing"
	"time"

	"hawthornturn/core/htcatalog"
)

// Guards against treating retries after a refusal as first attempts, and against treating
// first attempts as retries for long after callers shorten their timeouts.
func TestFirstAttempt(t *testing.T) {
	s := newSelector(1, fixedGroup{size: 1}, catalog(1, nil))
	r := &htcatalog.Route{Name: "r"}
	now := time.Unix(1000, 0)
	for _, ms := range []time.Duration{1200, 1100, 1000, 1200, 0, 1050} {
		if first := s.FirstAttempt(now, r, ms*time.Millisecond); !first.Equal(now) {
			t.Errorf("a call with a timeout of %d ms counts as first attempted %v ago", ms, now.Sub(first))
		}
	}
	if ago := now.Sub(s.FirstAttempt(now, r, 500*time.Millisecond)); ago < 600*time.Millisecond || ago > 700*time.Millisecond {
		t.Errorf("a call with 500 of about 1150 ms left counts as first attempted %v ago", ago)
	}
	for range 500 {
		s.FirstAttempt(now, r, 300*time.Millisecond)
	}
	if first := s.FirstAttempt(now, r, 300*time.Millisecond); !first.Equal(now) {
		t.Error("shorter timeouts count as retries after 500 calls")
	}
}
