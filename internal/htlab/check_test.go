package htlab

import "testing"

// TestProbeOverrun guards against missing a burst of probes above the budget because
// the average includes a period without probes before or after it, and against
// reporting an overrun that is caused by one delayed probe.
func TestProbeOverrun(t *testing.T) {
	tests := []struct {
		name   string
		times  []int64 // milliseconds
		budget float64
		want   int
	}{
		{"none", nil, 1, 0},
		{"no budget", []int64{0, 0, 0, 0}, 0, 0},
		{"at the budget", []int64{0, 1000, 2000, 3000, 4000}, 1, 0},
		{"one delayed", []int64{900, 1000, 2000, 3000}, 1, 0},
		{"burst", []int64{0, 0, 0, 0, 0}, 1, 3},
		{"burst after an hour without probes", []int64{0, 3600000, 3600000, 3600000}, 1, 1},
		{"twice the budget", []int64{0, 500, 1000, 1500, 2000, 2500, 3000}, 1, 2},
		{"half the budget", []int64{0, 1000, 2000, 3000}, 2, 0},
	}
	for _, tt := range tests {
		if got := probeOverrun(tt.times, tt.budget); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}
