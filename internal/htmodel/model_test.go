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

// testDuration covers one cycle of the periodic faults.
const testDuration = domainCycle

// findCandidates returns the first candidate or variant whose name starts with each
// label.
func findCandidates(labels ...string) []Candidate {
	var found []Candidate
	all := append(Candidates(), Variants()...)
	for _, l := range labels {
		i := slices.IndexFunc(all, func(c Candidate) bool { return strings.HasPrefix(c.Name, l+" ") })
		found = append(found, all[i])
	}
	return found
}

// Guards against results that depend on map order, shared random streams or wall-clock
// time: a figure could then not be reproduced from its seed.
func TestDeterminism(t *testing.T) {
	candidates := findCandidates("b", "d10", "e", "e11", "f", "g")
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

// Guards against requests that are lost or counted twice, which would distort the results
// of a policy, and against answers before the work is done.
func TestConservation(t *testing.T) {
	for _, s := range []Scenario{DomainOut, HostLost} {
		in := newRunInput(Sabarmati, s, 0.9, testDuration, 3)
		for _, c := range findCandidates("d10", "e", "e16", "f", "g") {
			t.Run(string(s)+"/"+c.Name, func(t *testing.T) {
				r := runOnce(Sabarmati, c, in, testDuration, 3)
				endCount := r.outcomes[done] + r.outcomes[refused] + r.outcomes[late]
				if r.arrivals != len(in.arrivals) || endCount != r.arrivals {
					t.Errorf("%d arrivals, %d counted, %d ended: %v", len(in.arrivals), r.arrivals, endCount, r.outcomes)
				}
				if r.earlyAnswers > 0 {
					t.Errorf("%d answers came before the work can have been done", r.earlyAnswers)
				}
				if c.Group == GroupIdeal && r.attempts > r.arrivals {
					t.Errorf("%d attempts for %d arrivals", r.attempts, r.arrivals)
				}
			})
		}
	}
}

// Guards against an ideal policy that is faster or slower than a single queue can be:
// without faults it is an M/M/c queue, whose mean wait is known.
func TestIdealMatchesErlangC(t *testing.T) {
	for _, load := range []float64{0.7, 0.9} {
		slots := Caroni.Upstreams * Caroni.Slots
		const duration = 300 * time.Second
		in := runInput{arrivals: drawArrivals(Caroni, load*float64(slots)/meanWork.Seconds(), duration, 5)}
		r := runOnce(Caroni, Candidate{build: newIdealPolicy}, in, duration, 5)
		// The lowest value of the histogram, 1 microsecond, is negligible against the wait.
		wait := r.addedTime.Mean() / 1e6
		want := erlangC(slots, load) * meanWork.Seconds() / (float64(slots) * (1 - load))
		if math.Abs(wait-want) > 0.15*want {
			t.Errorf("load %.1f: mean wait %.3f ms, want %.3f ms", load, wait*1e3, want*1e3)
		}
	}
}

// erlangC returns the probability that a request waits in an M/M/c queue.
func erlangC(servers int, load float64) float64 {
	offered := load * float64(servers)
	blocked := 1.0
	for i := 1; i <= servers; i++ {
		blocked = offered * blocked / (float64(i) + offered*blocked)
	}
	return blocked / (1 - load*(1-blocked))
}

// Guards against policies that complete more work than the upstreams have capacity for.
func TestGoodputWithinCapacity(t *testing.T) {
	in := newRunInput(Sabarmati, Steady, 1.3, testDuration, 2)
	for _, c := range findCandidates("d4", "e", "g") {
		r := runOnce(Sabarmati, c, in, testDuration, 2)
		// Refused and late requests have more work than the mean, so that goodput can
		// slightly exceed the capacity, which is counted in requests of mean work.
		if goodput := float64(r.doneAfterWarmUp) / (testDuration - warmUp).Seconds(); goodput > 1.1*in.capacity {
			t.Errorf("%s: goodput %.0f/s, capacity %.0f/s", c.Name, goodput, in.capacity)
		}
	}
}

// Guards against wrong speeds of overloaded and cold upstreams, on which all results
// depend.
func TestUpstreamSpeed(t *testing.T) {
	tests := []struct {
		name  string
		cold  bool
		shift float64
		n     int
		want  time.Duration // time until n concurrent requests of 20 ms work each have ended
	}{
		{"one request", false, 1, 1, 20 * time.Millisecond},
		{"all slots occupied", false, 1, 2, 20 * time.Millisecond},
		{"beyond the slots", false, 1, 4, 40 * time.Millisecond},
		{"speed shift", false, 0.4, 2, 50 * time.Millisecond},
		{"cold", true, 1, 1, 40 * time.Millisecond},
		{"cold beyond the limit", true, 1, 2, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var endTimes []time.Duration
			var eng engine
			u := &upstream{condition: condition{slots: 2, shiftFactor: tt.shift, noiseFactor: 1, cold: tt.cold}, engine: &eng}
			u.onEnded = func(*attempt, bool) { endTimes = append(endTimes, eng.now) }
			for range tt.n {
				u.start(&attempt{upstream: u, remaining: meanWork.Seconds()})
			}
			eng.runUntil(time.Second)
			if len(endTimes) != tt.n {
				t.Fatalf("%d of %d ended", len(endTimes), tt.n)
			}
			for _, e := range endTimes {
				if (e - tt.want).Abs() > time.Microsecond {
					t.Errorf("ended after %v, want %v", e, tt.want)
				}
			}
		})
	}
}

// Guards against a dispatcher that overloads an upstream: it must never exceed the slots,
// the limit of an upstream reported as cold, or the probe budget, and must not start
// requests in a failure domain that has been out for longer than domainOutGrace.
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
		in := newRunInput(tt.workload, tt.scenario, 0.9, testDuration, 1)
		for _, c := range findCandidates("e", "e11", "f") {
			t.Run(string(tt.scenario)+"/"+strings.Fields(c.Name)[0], func(t *testing.T) {
				r := runOnce(tt.workload, c, in, testDuration, 1)
				if r.startsBeyondSlots > 0 || r.startsBeyondKnownCold > 0 || r.probesOverBudget > 0 || r.startsAfterDomainOut > 0 {
					t.Errorf("starts beyond the slots %d, beyond a known cold limit %d, probes over budget %d, starts in a domain that is out %d",
						r.startsBeyondSlots, r.startsBeyondKnownCold, r.probesOverBudget, r.startsAfterDomainOut)
				}
			})
		}
	}
}

// Guards against a plot that cannot be drawn, for example because a row has no data.
func TestWritePlot(t *testing.T) {
	c := Compare(Sabarmati, findCandidates("d4", "e", "g"), []Scenario{Steady}, 10*time.Second, 1)
	if err := c.WritePlot(filepath.Join(t.TempDir(), "plot.png")); err != nil {
		t.Error(err)
	}
}
