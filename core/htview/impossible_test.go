package htview_test

import "testing"

// TestFaultMatrixImpossible lists the cells of the fault matrix that cannot occur in
// this package, each with the reason, so that the printed matrix is complete.
func TestFaultMatrixImpossible(t *testing.T) {
	const noUpstream = "membership sends nothing to upstreams"
	cells := []struct{ fault, why string }{
		{"silent-connections", "a connection between hosts that goes silent is a cut, and one to the table service is a slow table; both have cells"},
		{"upstream-slow", noUpstream},
		{"upstream-cold", noUpstream},
		{"upstream-draining", noUpstream},
		{"upstream-shedding", noUpstream},
		{"upstream-crash", noUpstream},
		{"operators-racing", "the declared state only adds and removes shards; who owns one follows from the view alone"},
	}
	for _, c := range cells {
		for _, s := range matrixSteps {
			t.Run(c.fault+"/"+s.name, func(t *testing.T) { t.Log("can't occur:", c.why) })
		}
	}
}
