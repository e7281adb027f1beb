package htmodel

import (
	"fmt"
	"slices"
	"time"
)

// Properties of requests and upstreams that both workloads share.
const (
	meanWork              = 20 * time.Millisecond  // work is exponentially distributed with this mean
	timeout               = 2 * time.Second        // htresource.DefaultTimeout
	callerLatency         = time.Millisecond       // one way, caller to entry host
	localLatency          = 100 * time.Microsecond // one way, inside a failure domain
	connectCost           = time.Millisecond       // opening a connection
	connectionIdleTimeout = time.Second            // idle connections are closed after this time
	probeWork             = 5 * time.Millisecond
	domainNoticeDelay     = 50 * time.Millisecond // from a change of a failure domain until every host knows
	lookupShare           = 0.7                   // share of idempotent requests
	callerCount           = 40
)

// Faults of upstreams, failure domains and entry hosts.
const (
	shiftSpeed        = 0.4
	shiftDuration     = 50 * time.Millisecond
	shiftInterval     = 200 * time.Millisecond // mean time at full speed between two speed shifts
	coldDuration      = 3 * time.Second
	coldInterval      = 30 * time.Second // mean time from the end of a cold period of an upstream to the next one
	coldLimit         = 1                // concurrent requests that a cold upstream can run without overload
	coldSpeed         = 0.5              // speed of a cold upstream with at most coldLimit requests
	coldOverloadSpeed = 0.2              // total speed of a cold upstream with more requests, which share it
	noiseSpeed        = 0.25
	noiseDuration     = time.Second
	noiseInterval     = 2 * time.Second // mean time between the starts of noisy periods in the pool; those that overlap on one upstream are dropped
	domainCycle       = 40 * time.Second
	domainOutAt       = 10 * time.Second // into the cycle
	domainReturnAt    = 25 * time.Second // into the cycle
	domainOutGrace    = 5 * time.Second  // bound of invariant I3
	hostCycle         = 40 * time.Second
	hostKillAt        = 10 * time.Second // into the cycle
	hostRestartAt     = 25 * time.Second // into the cycle
	takeoverDelay     = 7 * time.Second  // section 5 of docs/design.md
)

// Workload describes the modelled installation.
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

// FindWorkload returns the workload with the given name.
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

// domainOf returns the failure domain of a host or upstream. Both are spread evenly
// over the failure domains.
func (w Workload) domainOf(index int) int {
	return index % w.Domains
}

// Scenario names a sequence of faults. All scenarios contain speed shifts.
type Scenario string

// The scenarios.
const (
	Steady          Scenario = "steady"           // speed shifts only
	ColdStarts      Scenario = "cold-starts"      // upstreams become cold without notice
	DomainOut       Scenario = "domain-out"       // failure domains are taken out of service and returned, one at a time
	NoisyNeighbours Scenario = "noisy-neighbours" // single upstreams are slow for a longer time
	HostLost        Scenario = "host-lost"        // entry hosts that own shards are killed, one at a time
)

// Scenarios lists all scenarios in the order in which the tables are written.
var Scenarios = []Scenario{Steady, ColdStarts, DomainOut, NoisyNeighbours, HostLost}

// FindScenarios returns the scenarios with the given names.
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

// Loads are the offered loads as fractions of the mean capacity of the scenario.
var Loads = []float64{0.8, 0.9}
