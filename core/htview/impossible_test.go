package htview_test

import "testing"

// TestFaultMatrixImpossible lists the cells of the fault matrix that cannot occur in
// this package or have no cell of their own, each with the reason, so that the printed
// matrix is complete.
func TestFaultMatrixImpossible(t *testing.T) {
	const noUpstream = "membership sends nothing to upstreams"
	cells := []struct{ fault, why string }{
		{"silent-connections", "no cell of its own: a cut between hosts leaves messages without a reply, as a silent connection does, and TestTableOutage covers a table that does not reply"},
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
