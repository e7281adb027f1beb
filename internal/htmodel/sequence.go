package htmodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Streams of random numbers. Each purpose has its own, so that a change in one
// policy or fault leaves the other sequences as they are.
const (
	streamArrivals uint64 = iota + 1
	streamPolicy
	streamNoise
	streamShifts = 1 << 16 // plus the index of the upstream
	streamCold   = 1 << 17
)

func newRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// arrival is a request as a caller sends it.
type arrival struct {
	at         time.Duration
	host       int
	caller     int
	work       time.Duration
	idempotent bool
}

// fault is a change of an upstream or a failure domain. Its implementations are
// speedFault, noiseFault, coldFault, domainFault and hostFault.
type fault interface{ fault() }

type speedFault struct {
	upstream int
	speed    float64
}

type noiseFault struct {
	upstream int
	speed    float64
}

type coldFault struct {
	upstream int
	cold     bool
}

type domainFault struct {
	domain int
	out    bool
}

type hostFault struct {
	host int
	lost bool
}

func (hostFault) fault()   {}
func (speedFault) fault()  {}
func (noiseFault) fault()  {}
func (coldFault) fault()   {}
func (domainFault) fault() {}

type timedFault struct {
	at time.Duration
	fault
}

// sequence is the input of a run, identical for all policies.
type sequence struct {
	arrivals []arrival
	faults   []timedFault
	capacity float64 // mean capacity in requests a second
}

// newSequence draws the faults of the scenario, and arrivals at load times the
// mean capacity that these faults leave.
func newSequence(w Workload, s Scenario, load float64, length time.Duration, seed uint64) sequence {
	q := sequence{faults: shiftFaults(w, length, seed)}
	switch s {
	case ColdStarts:
		q.faults = append(q.faults, coldFaults(w, length, seed)...)
	case DomainOut:
		q.faults = append(q.faults, domainFaults(w, length)...)
	case NoisyNeighbours:
		q.faults = append(q.faults, noiseFaults(w, length, seed)...)
	case HostLost:
		q.faults = append(q.faults, hostFaults(length)...)
	}
	slices.SortStableFunc(q.faults, func(a, b timedFault) int { return int(a.at - b.at) })
	q.capacity = meanCapacity(w, q.faults, length)
	q.arrivals = drawArrivals(w, load*q.capacity, length, seed)
	return q
}

func drawArrivals(w Workload, perSecond float64, length time.Duration, seed uint64) []arrival {
	r := newRand(seed, streamArrivals)
	gap := time.Duration(float64(time.Second) / perSecond)
	var arrivals []arrival
	for t := exponential(r, gap); t < length; t += exponential(r, gap) {
		arrivals = append(arrivals, arrival{
			at:         t,
			host:       r.IntN(w.Hosts),
			caller:     r.IntN(callers),
			work:       exponential(r, meanWork),
			idempotent: r.Float64() < shareLookups,
		})
	}
	return arrivals
}

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

func shiftFaults(w Workload, length time.Duration, seed uint64) []timedFault {
	var faults []timedFault
	for u := range w.Upstreams {
		r := newRand(seed, streamShifts+uint64(u))
		for t := exponential(r, shiftGap); t < length; t += exponential(r, shiftGap) {
			faults = append(faults, timedFault{t, speedFault{u, shiftSpeed}})
			t += shiftLength
			faults = append(faults, timedFault{t, speedFault{u, 1}})
		}
	}
	return faults
}

func coldFaults(w Workload, length time.Duration, seed uint64) []timedFault {
	var faults []timedFault
	for u := range w.Upstreams {
		r := newRand(seed, streamCold+uint64(u))
		for t := exponential(r, coldGap); t < length; t += exponential(r, coldGap) {
			faults = append(faults, timedFault{t, coldFault{u, true}})
			t += coldLength
			faults = append(faults, timedFault{t, coldFault{u, false}})
		}
	}
	return faults
}

// domainFaults takes the failure domains out in turn. Upstreams of a domain that
// returns are cold.
func domainFaults(w Workload, length time.Duration) []timedFault {
	var faults []timedFault
	for cycle := 0; time.Duration(cycle+1)*domainCycle <= length; cycle++ {
		start := time.Duration(cycle) * domainCycle
		domain := cycle % w.Domains
		faults = append(faults, timedFault{start + domainOutAt, domainFault{domain, true}})
		back := start + domainBackAt
		for u := range w.Upstreams {
			if w.domainOf(u) == domain {
				faults = append(faults, timedFault{back, coldFault{u, true}}, timedFault{back + coldLength, coldFault{u, false}})
			}
		}
		faults = append(faults, timedFault{back, domainFault{domain, false}})
	}
	return faults
}

// hostFaults kills one entry host after another. With one shard in each failure
// domain, each of these hosts is the owner of a shard at that time.
func hostFaults(length time.Duration) []timedFault {
	var faults []timedFault
	for cycle := 0; time.Duration(cycle+1)*hostCycle <= length; cycle++ {
		start := time.Duration(cycle) * hostCycle
		faults = append(faults, timedFault{start + hostLostAt, hostFault{cycle, true}}, timedFault{start + hostBackAt, hostFault{cycle, false}})
	}
	return faults
}

// noiseFaults slows one random upstream at a time. Periods of the same upstream do
// not overlap.
func noiseFaults(w Workload, length time.Duration, seed uint64) []timedFault {
	r := newRand(seed, streamNoise)
	until := make([]time.Duration, w.Upstreams)
	var faults []timedFault
	for t := exponential(r, noiseGap); t < length; t += exponential(r, noiseGap) {
		u := r.IntN(w.Upstreams)
		if t < until[u] {
			continue
		}
		until[u] = t + noiseLength
		faults = append(faults, timedFault{t, noiseFault{u, noiseSpeed}}, timedFault{until[u], noiseFault{u, 1}})
	}
	return faults
}

// meanCapacity averages the capacity of all upstreams that are in service over
// the length of the run.
func meanCapacity(w Workload, faults []timedFault, length time.Duration) float64 {
	states := make([]condition, w.Upstreams)
	for u := range states {
		states[u] = newCondition(w.Slots)
	}
	out := make([]bool, w.Domains)
	total := 0.0
	last := time.Duration(0)
	for _, f := range faults {
		if f.at >= length {
			break
		}
		for u := range states {
			if !out[w.domainOf(u)] {
				total += states[u].capacity() * (f.at - last).Seconds()
			}
		}
		last = f.at
		switch v := f.fault.(type) {
		case domainFault:
			out[v.domain] = v.out
		default:
			applyFault(states, v)
		}
	}
	for u := range states {
		if !out[w.domainOf(u)] {
			total += states[u].capacity() * (length - last).Seconds()
		}
	}
	return total / length.Seconds() / meanWork.Seconds()
}

// applyFault applies a fault of an upstream.
func applyFault(states []condition, f fault) {
	switch v := f.(type) {
	case speedFault:
		states[v.upstream].shift = v.speed
	case noiseFault:
		states[v.upstream].noise = v.speed
	case coldFault:
		states[v.upstream].cold = v.cold
	}
}
