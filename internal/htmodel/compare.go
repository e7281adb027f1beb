package htmodel

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// RunDuration is the virtual duration of each run.
const RunDuration = 160 * time.Second

// maxConcurrentRuns bounds the number of CPU cores that a comparison uses.
const maxConcurrentRuns = 4

// Comparison is the result of all policies in all scenarios on one workload.
type Comparison struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Blocks   []Block `json:"blocks"`
}

// Block holds the rows of one load and scenario. All its policies ran on the same
// arrivals and faults.
type Block struct {
	Load               float64  `json:"load"`
	Scenario           Scenario `json:"scenario"`
	Capacity           float64  `json:"capacity-per-s"` // mean over the run
	Arrivals           int      `json:"offered"`
	StrongestHostAlone string   `json:"strongest-host-alone"`
	Rows               []Row    `json:"rows"`
}

// Compare runs every candidate in every scenario at every load, each for the given
// virtual duration.
func Compare(w Workload, candidates []Candidate, scenarios []Scenario, duration time.Duration, seed uint64) Comparison {
	c := Comparison{Workload: w.Name, Seed: seed}
	var tasks errgroup.Group
	tasks.SetLimit(maxConcurrentRuns)
	for _, load := range Loads {
		for _, s := range scenarios {
			c.Blocks = append(c.Blocks, Block{Load: load, Scenario: s, Rows: make([]Row, len(candidates))})
		}
	}
	for i := range c.Blocks {
		b := &c.Blocks[i]
		in := newRunInput(w, b.Scenario, b.Load, duration, seed)
		b.Capacity = in.capacity
		b.Arrivals = len(in.arrivals)
		for j, k := range candidates {
			tasks.Go(func() error {
				b.Rows[j] = newRow(k, w, runOnce(w, k, in, duration, seed), duration)
				return nil
			})
		}
	}
	_ = tasks.Wait() // the tasks return no errors
	for i := range c.Blocks {
		c.Blocks[i].compareWithReferences()
	}
	return c
}

// runOnce runs one candidate on the input and returns its record.
func runOnce(w Workload, c Candidate, in runInput, duration time.Duration, seed uint64) *record {
	m := newModel(w, duration, seed)
	m.policy = c.build(m)
	m.run(in)
	return &m.record
}
