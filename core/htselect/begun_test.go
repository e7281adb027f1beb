package htselect

import (
	"testing"
	"time"

	"hawthornturn/core/htcatalog"
)

// Guards against callers that come back after a refusal and are taken for new ones, and
// against new ones that are taken for returning ones for long because callers give less.
func TestBegun(t *testing.T) {
	s := newSelector(1, fixedGroup{size: 1}, catalog(1, nil))
	r := &htcatalog.Route{Name: "r"}
	now := time.Unix(1000, 0)
	for _, ms := range []time.Duration{1200, 1100, 1000, 1200, 0, 1050} {
		if begun := s.FirstAttempt(now, r, ms*time.Millisecond); !begun.Equal(now) {
			t.Errorf("a caller that gives %d ms counts as one that began %v ago", ms, now.Sub(begun))
		}
	}
	if ago := now.Sub(s.FirstAttempt(now, r, 500*time.Millisecond)); ago < 600*time.Millisecond || ago > 700*time.Millisecond {
		t.Errorf("a caller that has 500 of some 1150 ms left counts as one that began %v ago", ago)
	}
	for range 500 {
		s.FirstAttempt(now, r, 300*time.Millisecond)
	}
	if begun := s.FirstAttempt(now, r, 300*time.Millisecond); !begun.Equal(now) {
		t.Error("callers that all give less count as returning ones after 500 calls")
	}
}
