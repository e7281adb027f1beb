package htmodel

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// RunDuration is the virtual time of each run.
const RunDuration = 160 * time.Second

// runsAtOnce bounds the cores that a comparison uses.
const runsAtOnce = 4

// Comparison is the result of all policies in all scenarios on one workload.
type Comparison struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Blocks   []Block `json:"blocks"`
}

// Block holds the rows of one load and scenario. All rows had the same arrivals and
// faults.
type Block struct {
	Load               float64  `json:"load"`
	Scenario           Scenario `json:"scenario"`
	Capacity           float64  `json:"capacity-per-s"` // mean over the run
	Arrivals           int      `json:"offered"`        // arrivals
	StrongestHostAlone string   `json:"strongest-host-alone"`
	Rows               []Row    `json:"rows"`
}

// Compare runs every candidate in every scenario at every load.
func Compare(w Workload, candidates []Candidate, scenarios []Scenario, length time.Duration, seed uint64) Comparison {
	c := Comparison{Workload: w.Name, Seed: seed}
	var tasks errgroup.Group
	tasks.SetLimit(runsAtOnce)
	for _, load := range Loads {
		for _, s := range scenarios {
			c.Blocks = append(c.Blocks, Block{Load: load, Scenario: s, Rows: make([]Row, len(candidates))})
		}
	}
	for i := range c.Blocks {
		b := &c.Blocks[i]
		q := newSequence(w, b.Scenario, b.Load, length, seed)
		b.Capacity = q.capacity
		b.Arrivals = len(q.arrivals)
		for j, k := range candidates {
			tasks.Go(func() error {
				b.Rows[j] = newRow(k, w, runOnce(w, k, q, length, seed), length)
				return nil
			})
		}
	}
	_ = tasks.Wait() // the tasks return no errors
	for i := range c.Blocks {
		c.Blocks[i].judge()
	}
	return c
}

// runOnce runs one candidate.
func runOnce(w Workload, c Candidate, q sequence, length time.Duration, seed uint64) *record {
	m := newWorld(w, length, seed)
	m.policy = c.build(m)
	m.run(q)
	return &m.record
}
