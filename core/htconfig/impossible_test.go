package htconfig

import "testing"

// TestFaultMatrixImpossible lists the cells of the fault matrix that cannot occur in
// the steps of this package or have no cell of their own, each with the reason, so that
// the printed matrix is complete.
func TestFaultMatrixImpossible(t *testing.T) {
	const noUpstream = "configuration steps send nothing to upstreams"
	const noHostList = "configuration steps do not read the host list; it affects them only through the views of htview, whose matrix has cells for it"
	cells := []struct{ fault, reason string }{
		{"silent-connections", "no cell of its own: in the cells of cut-both-ways, a fetch from another host and a call to the table get no response before their timeouts, as on a silent connection"},
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
