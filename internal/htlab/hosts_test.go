package htlab

import "testing"

// TestPick guards against selecting a host that is not ready when the only ready host
// is the one to avoid. If that host is stopping, the second copy of a booking gets no
// connection.
func TestPick(t *testing.T) {
	tests := []struct {
		name  string
		out   map[string]bool
		avoid string
		want  map[string]bool
	}{
		{"all ready", nil, "", map[string]bool{"a": true, "b": true, "c": true}},
		{"one to avoid", nil, "a", map[string]bool{"b": true, "c": true}},
		{"one out", map[string]bool{"b": true}, "a", map[string]bool{"c": true}},
		{"only the one to avoid is ready", map[string]bool{"b": true, "c": true}, "a", map[string]bool{"a": true}},
		{"none ready", map[string]bool{"a": true, "b": true, "c": true}, "a", map[string]bool{"b": true, "c": true}},
	}
	for _, tt := range tests {
		h := newHostPicker([]string{"a", "b", "c"})
		if tt.out != nil {
			h.notReady = tt.out
		}
		for range 12 {
			if got := h.pick(tt.avoid); !tt.want[got] {
				t.Errorf("%s: picked %q, want one of %v", tt.name, got, tt.want)
			}
		}
	}
}
