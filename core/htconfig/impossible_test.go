package htconfig

import "testing"

// TestFaultMatrixImpossible lists the cells of the fault matrix that can't occur in
// the steps of this package, with the reason, so that the printed matrix is complete.
func TestFaultMatrixImpossible(t *testing.T) {
	const noUpstream = "configuration steps send nothing to upstreams"
	const noHostList = "configuration steps do not read the host list"
	cells := []struct{ fault, reason string }{
		{"silent-connections", "a silent connection between hosts acts like a cut, and one to the table service like a slow table; both have cells"},
		{"host-list-late", noHostList},
		{"host-list-wrong", noHostList},
		{"upstream-slow", noUpstream},
		{"upstream-cold", noUpstream},
		{"upstream-draining", noUpstream},
		{"upstream-shedding", noUpstream},
		{"upstream-crash", noUpstream},
	}
	for _, c := range cells {
		for _, step := range []string{"configuration-write", "configuration-spread"} {
			t.Run(c.fault+"/"+step, func(t *testing.T) { t.Log("can't occur:", c.reason) })
		}
	}
}
