package htmodel

import (
	"bytes"
	"encoding/json"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hawthornturn/core/htassert"
)

// testLength covers one cycle of the faults that come in cycles.
const testLength = domainCycle

// named returns the first candidate or variant for each label.
func named(labels ...string) []Candidate {
	var found []Candidate
	all := append(Candidates(), Variants()...)
	for _, l := range labels {
		i := slices.IndexFunc(all, func(c Candidate) bool { return strings.HasPrefix(c.Name, l+" ") })
		found = append(found, all[i])
	}
	return found
}

// Guards against map order, shared random streams or wall time in a result: then a
// figure could not be reproduced from its seed.
func TestDeterminism(t *testing.T) {
	candidates := named("b", "d10", "e", "e11", "f", "g")
	scenarios := []Scenario{ColdStarts}
	table := func(seed uint64) string {
		var text bytes.Buffer
		c := Compare(Sabarmati, candidates, scenarios, 12*time.Second, seed)
		if err := c.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		full, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		return text.String() + string(full)
	}
	first := table(7)
	if again := table(7); again != first {
		t.Errorf("the same seed gave different results:\n%s\n%s", first, again)
	}
	if other := table(8); other == first {
		t.Error("another seed gave the same result")
	}
}

// Guards against requests that are lost or counted twice, which would make a policy
// look better or worse than it is, and against answers before the work is done.
func TestConservation(t *testing.T) {
	for _, s := range []Scenario{DomainOut, HostLost} {
		q := newSequence(Sabarmati, s, 0.9, testLength, 3)
		for _, c := range named("d10", "e", "e16", "f", "g") {
			t.Run(string(s)+"/"+c.Name, func(t *testing.T) {
				r := runOnce(Sabarmati, c, q, testLength, 3)
				ends := r.outcomes[done] + r.outcomes[refused] + r.outcomes[late]
				if r.arrivals != len(q.arrivals) || ends != r.arrivals {
					t.Errorf("%d arrivals, %d counted, %d ended: %v", len(q.arrivals), r.arrivals, ends, r.outcomes)
				}
				if r.tooEarly > 0 {
					t.Errorf("%d answers came before the work can have been done", r.tooEarly)
				}
				if c.Group == GroupIdeal && r.attempts > r.arrivals {
					t.Errorf("%d attempts for %d arrivals", r.attempts, r.arrivals)
				}
			})
		}
	}
}

// Guards against an ideal row that does the impossible, or less than one queue can
// do: without faults it is an M/M/c queue, whose mean wait is known.
func TestIdealMatchesErlangC(t *testing.T) {
	for _, load := range []float64{0.7, 0.9} {
		slots := Caroni.Upstreams * Caroni.Slots
		const length = 300 * time.Second
		q := sequence{arrivals: drawArrivals(Caroni, load*float64(slots)/meanWork.Seconds(), length, 5)}
		r := runOnce(Caroni, Candidate{build: newIdeal}, q, length, 5)
		// The histogram starts at 1 microsecond, which is nothing against the wait.
		wait := r.added.Mean() / 1e6
		want := erlangC(slots, load) * meanWork.Seconds() / (float64(slots) * (1 - load))
		if math.Abs(wait-want) > 0.15*want {
			t.Errorf("load %.1f: mean wait %.3f ms, want %.3f ms", load, wait*1e3, want*1e3)
		}
	}
}

// erlangC returns the probability that a request waits.
func erlangC(servers int, load float64) float64 {
	offered := load * float64(servers)
	blocked := 1.0
	for i := 1; i <= servers; i++ {
		blocked = offered * blocked / (float64(i) + offered*blocked)
	}
	return blocked / (1 - load*(1-blocked))
}

// Guards against rows that finish more work than the upstreams can do.
func TestGoodputWithinCapacity(t *testing.T) {
	q := newSequence(Sabarmati, Steady, 1.3, testLength, 2)
	for _, c := range named("d4", "e", "g") {
		r := runOnce(Sabarmati, c, q, testLength, 2)
		// Refused and late requests are longer than the mean, so that a little more
		// than the capacity in mean requests is possible.
		if goodput := float64(r.doneInTime) / (testLength - warmUp).Seconds(); goodput > 1.1*q.capacity {
			t.Errorf("%s: goodput %.0f/s, capacity %.0f/s", c.Name, goodput, q.capacity)
		}
	}
}

// Guards against wrong speeds of overloaded and cold upstreams, from which all rows
// derive.
func TestUpstreamSpeed(t *testing.T) {
	tests := []struct {
		name  string
		cold  bool
		shift float64
		n     int
		want  time.Duration // time of n equal requests of 20 ms work
	}{
		{"one", false, 1, 1, 20 * time.Millisecond},
		{"all slots", false, 1, 2, 20 * time.Millisecond},
		{"beyond the slots", false, 1, 4, 40 * time.Millisecond},
		{"shifted", false, 0.4, 2, 50 * time.Millisecond},
		{"cold", true, 1, 1, 40 * time.Millisecond},
		{"cold beyond what it bears", true, 1, 2, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var ends []time.Duration
			var eng engine
			u := &upstream{condition: condition{slots: 2, shift: tt.shift, noise: 1, cold: tt.cold}, eng: &eng}
			u.onEnded = func(*attempt, bool) { ends = append(ends, eng.now) }
			for range tt.n {
				u.start(&attempt{upstream: u, remaining: meanWork.Seconds()})
			}
			eng.runUntil(time.Second)
			if len(ends) != tt.n {
				t.Fatalf("%d of %d ended", len(ends), tt.n)
			}
			for _, e := range ends {
				if (e - tt.want).Abs() > time.Microsecond {
					t.Errorf("ended after %v, want %v", e, tt.want)
				}
			}
		})
	}
}

// Guards against a dispatcher that overloads an upstream: slots, cold limits that
// an answer has told of, and the probe budget hold exactly.
func TestDispatcherLimits(t *testing.T) {
	htassert.PanicOnViolation.Store(true)
	t.Cleanup(func() { htassert.PanicOnViolation.Store(false) })
	tests := []struct {
		workload Workload
		scenario Scenario
	}{
		{Sabarmati, ColdStarts},
		{Caroni, DomainOut},
		{Sabarmati, HostLost},
	}
	for _, tt := range tests {
		q := newSequence(tt.workload, tt.scenario, 0.9, testLength, 1)
		for _, c := range named("e", "e11", "f") {
			t.Run(string(tt.scenario)+"/"+strings.Fields(c.Name)[0], func(t *testing.T) {
				r := runOnce(tt.workload, c, q, testLength, 1)
				if r.overStarts > 0 || r.coldOverKnown > 0 || r.probeOver > 0 || r.domainOutStarts > 0 {
					t.Errorf("starts beyond the slots %d, beyond a known cold limit %d, probes over budget %d, starts in a domain that is out %d",
						r.overStarts, r.coldOverKnown, r.probeOver, r.domainOutStarts)
				}
			})
		}
	}
}

// Guards against a plot that cannot be drawn, for example from an empty row.
func TestWritePlot(t *testing.T) {
	c := Compare(Sabarmati, named("d4", "e", "g"), []Scenario{Steady}, 10*time.Second, 1)
	if err := c.WritePlot(filepath.Join(t.TempDir(), "plot.png")); err != nil {
		t.Error(err)
	}
}
