package htlab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htconfig"
	"hawthornturn/core/htresource"
	"hawthornturn/internal/htstand"
	"hawthornturn/io/htapi"
)

// Soak sends calls while it injects random faults, which can overlap. A seed
// reproduces the sequences of faults and of calls, but not their exact relative
// timing.
type Soak struct {
	Workload Workload
	Hosts    int
	Load     float64 // rate of the calls as a share of the upstreams' capacity
	Duration time.Duration
	Seed     uint64
	Log      func(format string, args ...any)
}

const (
	// soakSegment is the duration of one load, after which its responses are checked.
	soakSegment = 10 * time.Second
	// minFaultInterval and maxFaultInterval bound the time between two faults.
	minFaultInterval = 200 * time.Millisecond
	maxFaultInterval = 2 * time.Second
	// soakRecoveryTimeout bounds the time until all hosts must be ready again after
	// the last fault has ended. It covers a takeover after an expired lease and several
	// rounds of observation.
	soakRecoveryTimeout = time.Minute
)

// SoakResult holds the number of injected faults by name, the number of calls by
// outcome, and the violations.
type SoakResult struct {
	Seed       uint64         `json:"seed"`
	Faults     map[string]int `json:"faults"`
	Sent       int            `json:"sent"`
	Done       int            `json:"done"`
	NotRun     int            `json:"not-run"`
	Unknown    int            `json:"unknown"`
	Violations []string       `json:"violations"`
}

// soakRun is the state of a running Soak.
type soakRun struct {
	*experimentRun
	soak         Soak
	random       *rand.Rand
	replacements int
	undo         []func()
	result       SoakResult
}

// faultInjection is one kind of fault. Its inject function returns the function that
// ends the fault, or nil if the fault ends by itself.
type faultInjection struct {
	name   string
	inject func(context.Context, *soakRun) func()
}

// Run runs the soak. A failed assertion panics; other violations are returned in the
// result.
func (s Soak) Run(ctx context.Context) (SoakResult, error) {
	htassert.PanicOnViolation.Store(true)
	cluster, err := NewCluster()
	if err != nil {
		return SoakResult{}, err
	}
	experiment := Experiment{Workload: s.Workload, Hosts: s.Hosts, Load: s.Load, PhaseDuration: soakSegment, Seed: s.Seed, Table: TableUp, Log: s.Log}
	r := &soakRun{
		experimentRun: &experimentRun{Experiment: experiment, cluster: cluster},
		soak:          s,
		random:        rand.New(rand.NewPCG(s.Seed, 0)),
		result:        SoakResult{Seed: s.Seed, Faults: map[string]int{}},
	}
	err = r.prepare(ctx)
	if err == nil {
		err = r.injectFaults(ctx)
	}
	return r.result, errors.Join(err, cluster.Close())
}

// injectFaults sends loads and injects faults at the same time, ends all faults and
// then checks the recovery.
func (r *soakRun) injectFaults(ctx context.Context) error {
	end := time.Now().Add(r.soak.Duration)
	loads := make(chan error, 1)
	go func() { loads <- r.sendUntil(ctx, end) }()
	for time.Now().Before(end) && ctx.Err() == nil {
		r.injectNext(ctx)
		pause := minFaultInterval + time.Duration(r.random.Int64N(int64(maxFaultInterval-minFaultInterval)))
		sleepUntil(ctx, time.Now().Add(pause))
	}
	for _, undo := range r.undo {
		undo()
	}
	return errors.Join(<-loads, r.checkRecovery(ctx))
}

// injectNext injects a random fault. If faults are active, it first ends one of them
// with a probability of two thirds.
func (r *soakRun) injectNext(ctx context.Context) {
	if len(r.undo) > 0 && r.random.IntN(3) > 0 {
		i := r.random.IntN(len(r.undo))
		undo := r.undo[i]
		r.undo = slices.Delete(r.undo, i, i+1)
		undo()
	}
	f := soakFaults[r.random.IntN(len(soakFaults))]
	r.soak.Log("fault %s", f.name)
	r.result.Faults[f.name]++
	if undo := f.inject(ctx, r); undo != nil {
		r.undo = append(r.undo, undo)
	}
}

// sendUntil sends loads one after the other until end and sums up their results.
func (r *soakRun) sendUntil(ctx context.Context, end time.Time) error {
	for segment := uint64(0); time.Now().Before(end) && ctx.Err() == nil; segment++ {
		service := r.set.Services[segment%uint64(len(r.set.Services))]
		got, err := r.runLoad(ctx, service, r.soak.Seed+segment)
		if err != nil {
			return err
		}
		r.result.Sent += got.Total(func(c Counts) int { return c.Sent })
		r.result.Done += got.Total(func(c Counts) int { return c.Done })
		r.result.NotRun += got.Total(func(c Counts) int { return c.NotRun })
		r.result.Unknown += got.Total(func(c Counts) int { return c.Unknown })
		for _, v := range got.Violations() {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("segment %d, service %s: %s", segment, service.Name, v))
		}
	}
	return nil
}

// checkRecovery applies the declarations, waits until all hosts are ready, and checks
// that no upstream received more requests than it has slots.
func (r *soakRun) checkRecovery(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, soakRecoveryTimeout)
	defer cancel()
	revision, err := r.apply(ctx)
	if err != nil {
		return err
	}
	if err := r.cluster.WaitReady(ctx, revision); err != nil {
		return err
	}
	for _, u := range r.cluster.Upstreams {
		if over := u.Record().OverSlots; over > 0 {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("upstream %s received %d requests above its slots", u.Name(), over))
		}
	}
	return nil
}

// soakFaults are the faults that can be injected within a single process.
var soakFaults = []faultInjection{
	{"table-down", func(_ context.Context, r *soakRun) func() {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.Down = true })
		return func() { r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.Down = false }) }
	}},
	{"table-slow", func(_ context.Context, r *soakRun) func() {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.DelayMS = 400 })
		return func() { r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.DelayMS = 0 }) }
	}},
	{"table-answers-lost", func(_ context.Context, r *soakRun) func() {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.LoseResponses = 3 })
		return nil
	}},
	{"host-list-wrong", func(_ context.Context, r *soakRun) func() {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.HostListOmit = []string{r.cluster.Hosts()[0].Name} })
		return func() { r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.HostListOmit = nil }) }
	}},
	{"host-killed", func(_ context.Context, r *soakRun) func() {
		r.replaceHost(func(h *ClusterHost) { h.Kill() })
		return nil
	}},
	{"host-stopped", func(_ context.Context, r *soakRun) func() {
		r.replaceHost(func(h *ClusterHost) { r.recordError(h.Stop()) })
		return nil
	}},
	{"upstream-slow", func(_ context.Context, r *soakRun) func() {
		return r.setUpstreamFault(func(f *htstand.UpstreamFaults) { f.SlowFactor = 3 }, func(f *htstand.UpstreamFaults) { f.SlowFactor = 0 })
	}},
	{"upstream-draining", func(_ context.Context, r *soakRun) func() {
		return r.setUpstreamFault(func(f *htstand.UpstreamFaults) { f.Draining = true }, func(f *htstand.UpstreamFaults) { f.Draining = false })
	}},
	{"upstream-shedding", func(_ context.Context, r *soakRun) func() {
		return r.setUpstreamFault(func(f *htstand.UpstreamFaults) { f.ShedShare = 0.5 }, func(f *htstand.UpstreamFaults) { f.ShedShare = 0 })
	}},
	{"upstream-cut-answers", func(_ context.Context, r *soakRun) func() {
		return r.setUpstreamFault(func(f *htstand.UpstreamFaults) { f.TruncateResponses = 2 }, func(f *htstand.UpstreamFaults) { f.TruncateResponses = 0 })
	}},
	{"upstream-cold", func(_ context.Context, r *soakRun) func() {
		r.randomUpstream().SetCold(3 * time.Second)
		return nil
	}},
	{"upstream-crash", func(_ context.Context, r *soakRun) func() {
		r.randomUpstream().Crash(time.Second)
		return nil
	}},
	{"upstream-silent", func(_ context.Context, r *soakRun) func() {
		r.recordError(r.randomUpstream().SilenceConnections())
		return nil
	}},
	{"operators-racing", func(ctx context.Context, r *soakRun) func() {
		r.raceOperators(ctx)
		return nil
	}},
}

// recordError records the error of a step that must succeed as a violation.
func (r *soakRun) recordError(err error) {
	if err != nil {
		r.result.Violations = append(r.result.Violations, err.Error())
	}
}

func (r *soakRun) randomUpstream() *htstand.Upstream {
	return r.cluster.Upstreams[r.random.IntN(len(r.cluster.Upstreams))]
}

func (r *soakRun) setUpstreamFault(start, end func(*htstand.UpstreamFaults)) func() {
	u := r.randomUpstream()
	r.recordError(u.SetFaults(start))
	return func() { r.recordError(u.SetFaults(end)) }
}

// replaceHost ends a random host and starts a replacement in the same failure domain,
// as the platform does.
func (r *soakRun) replaceHost(end func(*ClusterHost)) {
	r.replacements++
	hosts := r.cluster.Hosts()
	old := hosts[r.random.IntN(len(hosts))]
	end(old)
	r.cluster.Remove(old)
	_, err := r.cluster.StartHost(fmt.Sprintf("replacement-%d", r.replacements), old.Domain, nil)
	r.recordError(err)
	r.client = htapi.NewClient(r.cluster.OperatorServers(), OperatorKey)
}

// raceOperators takes the same failure domain out and brings it back in two concurrent
// requests. Errors, such as a lost race or an unavailable table service, are logged
// and are not violations.
func (r *soakRun) raceOperators(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	domain := r.set.Domains[r.random.IntN(len(r.set.Domains))]
	ended := make(chan error, 2)
	for _, state := range []htresource.DomainState{htresource.DomainOut, htresource.DomainIn} {
		changed := domain
		changed.State = state
		go func() {
			_, err := r.client.Put(ctx, changed, htconfig.Precondition{Any: true})
			ended <- err
		}()
	}
	for range 2 {
		if err := <-ended; err != nil {
			r.soak.Log("operator: %v", err)
		}
	}
}
