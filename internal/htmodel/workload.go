package htmodel

import (
	"fmt"
	"slices"
	"time"
)

// Properties of requests and upstreams that both workloads share.
const (
	meanWork       = 20 * time.Millisecond  // work is exponential with this mean
	timeout        = 2 * time.Second        // htresource.DefaultTimeout
	callerLatency  = time.Millisecond       // one way, caller to entry host
	localLatency   = 100 * time.Microsecond // one way, inside a failure domain
	connectCost    = time.Millisecond       // opening a connection
	connectionIdle = time.Second            // idle connections are closed after this
	probeWork      = 5 * time.Millisecond
	noticeDelay    = 50 * time.Millisecond // change of a failure domain until every host knows
	shareLookups   = 0.7                   // share of idempotent requests
	callers        = 40
)

// Faults of upstreams.
const (
	shiftSpeed    = 0.4
	shiftLength   = 50 * time.Millisecond
	shiftGap      = 200 * time.Millisecond // mean time at full speed between two shifts
	coldLength    = 3 * time.Second
	coldGap       = 30 * time.Second // mean time between two cold starts of an upstream
	coldBears     = 1                // requests at once
	coldSpeed     = 0.5              // speed of a cold upstream with no more than coldBears
	coldOverSpeed = 0.2              // total speed of a cold upstream with more, shared by all of them
	noiseSpeed    = 0.25
	noiseLength   = time.Second
	noiseGap      = 2 * time.Second // mean time between the starts of two noisy periods in the pool
	domainCycle   = 40 * time.Second
	domainOutAt   = 10 * time.Second // into the cycle
	domainBackAt  = 25 * time.Second // into the cycle
	domainOutMax  = 5 * time.Second  // bound of invariant I3
	hostCycle     = 40 * time.Second
	hostLostAt    = 10 * time.Second // into the cycle
	hostBackAt    = 25 * time.Second // into the cycle
	takeoverDelay = 7 * time.Second  // section 5 of docs/design.md
)

// Workload describes the installation that is modelled.
type Workload struct {
	Name               string
	Hosts              int
	Domains            int
	CrossDomainLatency time.Duration // one-way latency between failure domains
	Upstreams          int
	Slots              int
}

// The two workloads of section 1.3 of docs/design.md.
var (
	Sabarmati = Workload{Name: "sabarmati", Hosts: 16, Domains: 4, CrossDomainLatency: time.Millisecond, Upstreams: 10, Slots: 2}
	Caroni    = Workload{Name: "caroni", Hosts: 14, Domains: 3, CrossDomainLatency: 1500 * time.Microsecond, Upstreams: 12, Slots: 3}
)

// FindWorkload returns the workload with the name.
func FindWorkload(name string) (Workload, error) {
	for _, w := range []Workload{Sabarmati, Caroni} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("unknown workload %q; want sabarmati or caroni", name)
}

// latency returns the one-way latency between two failure domains.
func (w Workload) latency(a, b int) time.Duration {
	if a == b {
		return localLatency
	}
	return w.CrossDomainLatency
}

// domainOf spreads hosts and upstreams evenly over the failure domains.
func (w Workload) domainOf(index int) int {
	return index % w.Domains
}

// Scenario names a fault sequence. All scenarios contain speed shifts.
type Scenario string

// The scenarios.
const (
	Steady          Scenario = "steady"           // speed shifts only
	ColdStarts      Scenario = "cold-starts"      // upstreams go cold without warning
	DomainOut       Scenario = "domain-out"       // failure domains are taken out and returned, one at a time
	NoisyNeighbours Scenario = "noisy-neighbours" // single upstreams are slow for a longer time
	HostLost        Scenario = "host-lost"        // entry hosts that own shards are killed, one at a time
)

// Scenarios lists all scenarios in the order of the table.
var Scenarios = []Scenario{Steady, ColdStarts, DomainOut, NoisyNeighbours, HostLost}

// FindScenarios returns the scenarios with the names.
func FindScenarios(names []string) ([]Scenario, error) {
	var found []Scenario
	for _, n := range names {
		if !slices.Contains(Scenarios, Scenario(n)) {
			return nil, fmt.Errorf("unknown scenario %q; want one of %v", n, Scenarios)
		}
		found = append(found, Scenario(n))
	}
	return found, nil
}

// Loads are the offered loads as shares of the mean capacity of the scenario.
var Loads = []float64{0.8, 0.9}
