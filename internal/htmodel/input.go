package htmodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Streams of random numbers. Each use has its own stream, so that a change to one
// policy or fault does not change the numbers of the others.
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

// arrival is a request as sent by a caller.
type arrival struct {
	at         time.Duration
	host       int
	caller     int
	work       time.Duration
	idempotent bool
}

// fault is a change of an upstream, a failure domain or an entry host. It is one of
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

// runInput holds the arrivals and faults of a run, which are the same for all policies.
type runInput struct {
	arrivals []arrival
	faults   []timedFault
	capacity float64 // mean capacity in requests per second
}

// newRunInput generates the faults of the scenario, and arrivals at a rate of load times
// the mean capacity under these faults.
func newRunInput(w Workload, s Scenario, load float64, duration time.Duration, seed uint64) runInput {
	in := runInput{faults: shiftFaults(w, duration, seed)}
	switch s {
	case ColdStarts:
		in.faults = append(in.faults, coldFaults(w, duration, seed)...)
	case DomainOut:
		in.faults = append(in.faults, domainFaults(w, duration)...)
	case NoisyNeighbours:
		in.faults = append(in.faults, noiseFaults(w, duration, seed)...)
	case HostLost:
		in.faults = append(in.faults, hostFaults(duration)...)
	}
	slices.SortStableFunc(in.faults, func(a, b timedFault) int { return int(a.at - b.at) })
	in.capacity = meanCapacity(w, in.faults, duration)
	in.arrivals = drawArrivals(w, load*in.capacity, duration, seed)
	return in
}

func drawArrivals(w Workload, perSecond float64, duration time.Duration, seed uint64) []arrival {
	r := newRand(seed, streamArrivals)
	gap := time.Duration(float64(time.Second) / perSecond)
	var arrivals []arrival
	for t := exponential(r, gap); t < duration; t += exponential(r, gap) {
		arrivals = append(arrivals, arrival{
			at:         t,
			host:       r.IntN(w.Hosts),
			caller:     r.IntN(callerCount),
			work:       exponential(r, meanWork),
			idempotent: r.Float64() < lookupShare,
		})
	}
	return arrivals
}

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

func shiftFaults(w Workload, duration time.Duration, seed uint64) []timedFault {
	var faults []timedFault
	for u := range w.Upstreams {
		r := newRand(seed, streamShifts+uint64(u))
		for t := exponential(r, shiftInterval); t < duration; t += exponential(r, shiftInterval) {
			faults = append(faults, timedFault{t, speedFault{u, shiftSpeed}})
			t += shiftDuration
			faults = append(faults, timedFault{t, speedFault{u, 1}})
		}
	}
	return faults
}

func coldFaults(w Workload, duration time.Duration, seed uint64) []timedFault {
	var faults []timedFault
	for u := range w.Upstreams {
		r := newRand(seed, streamCold+uint64(u))
		for t := exponential(r, coldInterval); t < duration; t += exponential(r, coldInterval) {
			faults = append(faults, timedFault{t, coldFault{u, true}})
			t += coldDuration
			faults = append(faults, timedFault{t, coldFault{u, false}})
		}
	}
	return faults
}

// domainFaults takes the failure domains out of service in turn. The upstreams of a
// domain are cold for coldDuration after it returns.
func domainFaults(w Workload, duration time.Duration) []timedFault {
	var faults []timedFault
	for cycle := 0; time.Duration(cycle+1)*domainCycle <= duration; cycle++ {
		start := time.Duration(cycle) * domainCycle
		domain := cycle % w.Domains
		faults = append(faults, timedFault{start + domainOutAt, domainFault{domain, true}})
		returnAt := start + domainReturnAt
		for u := range w.Upstreams {
			if w.domainOf(u) == domain {
				faults = append(faults, timedFault{returnAt, coldFault{u, true}}, timedFault{returnAt + coldDuration, coldFault{u, false}})
			}
		}
		faults = append(faults, timedFault{returnAt, domainFault{domain, false}})
	}
	return faults
}

// hostFaults kills and restarts entry hosts, one at a time. With one shard per failure
// domain, each of these hosts owns a shard when it is killed.
func hostFaults(duration time.Duration) []timedFault {
	var faults []timedFault
	for cycle := 0; time.Duration(cycle+1)*hostCycle <= duration; cycle++ {
		start := time.Duration(cycle) * hostCycle
		faults = append(faults, timedFault{start + hostKillAt, hostFault{cycle, true}}, timedFault{start + hostRestartAt, hostFault{cycle, false}})
	}
	return faults
}

// noiseFaults generates noisy periods, each of which slows one random upstream. Periods
// of the same upstream do not overlap.
func noiseFaults(w Workload, duration time.Duration, seed uint64) []timedFault {
	r := newRand(seed, streamNoise)
	until := make([]time.Duration, w.Upstreams)
	var faults []timedFault
	for t := exponential(r, noiseInterval); t < duration; t += exponential(r, noiseInterval) {
		u := r.IntN(w.Upstreams)
		if t < until[u] {
			continue
		}
		until[u] = t + noiseDuration
		faults = append(faults, timedFault{t, noiseFault{u, noiseSpeed}}, timedFault{until[u], noiseFault{u, 1}})
	}
	return faults
}

// meanCapacity returns the total capacity of the upstreams in service in requests of
// mean work per second, averaged over the run.
func meanCapacity(w Workload, faults []timedFault, duration time.Duration) float64 {
	states := make([]condition, w.Upstreams)
	for u := range states {
		states[u] = newCondition(w.Slots)
	}
	out := make([]bool, w.Domains)
	total := 0.0
	last := time.Duration(0)
	for _, f := range faults {
		if f.at >= duration {
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
			total += states[u].capacity() * (duration - last).Seconds()
		}
	}
	return total / duration.Seconds() / meanWork.Seconds()
}

// applyFault applies a fault of an upstream to its condition.
func applyFault(states []condition, f fault) {
	switch v := f.(type) {
	case speedFault:
		states[v.upstream].shiftFactor = v.speed
	case noiseFault:
		states[v.upstream].noiseFactor = v.speed
	case coldFault:
		states[v.upstream].cold = v.cold
	}
}
