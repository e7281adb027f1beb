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

// Soak sends calls while faults drawn from a seed strike one after the other and
// together. The seed repeats the sequence of faults and calls, but not the exact
// times at which they meet.
type Soak struct {
	Workload Workload
	Hosts    int
	Load     float64 // share of the upstreams' capacity
	Duration time.Duration
	Seed     uint64
	Log      func(format string, args ...any)
}

const (
	// soakSegment is the length of one load whose answers are checked together.
	soakSegment = 10 * time.Second
	// shortestPause and longestPause bound the time between two faults.
	shortestPause = 200 * time.Millisecond
	longestPause  = 2 * time.Second
	// soakRecovery bounds the time in which all must be well again after the last
	// fault has ended: a take-over after a lapsed lease, and some rounds.
	soakRecovery = time.Minute
)

// SoakResult counts what happened.
type SoakResult struct {
	Seed       uint64         `json:"seed"`
	Faults     map[string]int `json:"faults"`
	Sent       int            `json:"sent"`
	Done       int            `json:"done"`
	NotRun     int            `json:"not-run"`
	Unknown    int            `json:"unknown"`
	Violations []string       `json:"violations"`
}

// soakRun is a Soak under way.
type soakRun struct {
	*run
	soak     Soak
	random   *rand.Rand
	replaced int
	undo     []func()
	result   SoakResult
}

// fault is one kind of fault. It returns what ends it, or nil if it ends by itself.
type fault struct {
	name   string
	strike func(context.Context, *soakRun) func()
}

// Run carries out the soak. A broken assertion panics; other broken promises are
// returned as violations.
func (s Soak) Run(ctx context.Context) (SoakResult, error) {
	htassert.PanicOnViolation.Store(true)
	cluster, err := NewCluster()
	if err != nil {
		return SoakResult{}, err
	}
	experiment := Experiment{Workload: s.Workload, Hosts: s.Hosts, Load: s.Load, Phase: soakSegment, Seed: s.Seed, Table: TableUp, Log: s.Log}
	r := &soakRun{
		run:    &run{Experiment: experiment, cluster: cluster},
		soak:   s,
		random: rand.New(rand.NewPCG(s.Seed, 0)),
		result: SoakResult{Seed: s.Seed, Faults: map[string]int{}},
	}
	err = r.prepare(ctx)
	if err == nil {
		err = r.strikeAll(ctx)
	}
	return r.result, errors.Join(err, cluster.Close())
}

// strikeAll runs loads and faults side by side, and then checks the recovery.
func (r *soakRun) strikeAll(ctx context.Context) error {
	end := time.Now().Add(r.soak.Duration)
	loads := make(chan error, 1)
	go func() { loads <- r.sendUntil(ctx, end) }()
	for time.Now().Before(end) && ctx.Err() == nil {
		r.strike(ctx)
		pause := shortestPause + time.Duration(r.random.Int64N(int64(longestPause-shortestPause)))
		sleepUntil(ctx, time.Now().Add(pause))
	}
	for _, undo := range r.undo {
		undo()
	}
	return errors.Join(<-loads, r.recovered(ctx))
}

// strike causes the next fault, and often ends an earlier one.
func (r *soakRun) strike(ctx context.Context) {
	if len(r.undo) > 0 && r.random.IntN(3) > 0 {
		i := r.random.IntN(len(r.undo))
		undo := r.undo[i]
		r.undo = slices.Delete(r.undo, i, i+1)
		undo()
	}
	f := soakFaults[r.random.IntN(len(soakFaults))]
	r.soak.Log("fault %s", f.name)
	r.result.Faults[f.name]++
	if undo := f.strike(ctx, r); undo != nil {
		r.undo = append(r.undo, undo)
	}
}

// sendUntil sends loads one after the other and sums them up.
func (r *soakRun) sendUntil(ctx context.Context, end time.Time) error {
	for segment := uint64(0); time.Now().Before(end) && ctx.Err() == nil; segment++ {
		service := r.set.Services[segment%uint64(len(r.set.Services))]
		got, err := r.load(ctx, service, r.soak.Seed+segment)
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

// recovered waits until all hosts agree again and checks that calls are answered
// and no upstream got more than it bears.
func (r *soakRun) recovered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, soakRecovery)
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
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("upstream %s got %d requests above its slots", u.Name(), over))
		}
	}
	return nil
}

// soakFaults are the faults of the brief that a single process can cause.
var soakFaults = []fault{
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
		r.replaceHost(func(h *ClusterHost) { r.note(h.Stop()) })
		return nil
	}},
	{"upstream-slow", func(_ context.Context, r *soakRun) func() {
		return r.upstreamFault(func(f *htstand.UpstreamFaults) { f.SlowFactor = 3 }, func(f *htstand.UpstreamFaults) { f.SlowFactor = 0 })
	}},
	{"upstream-draining", func(_ context.Context, r *soakRun) func() {
		return r.upstreamFault(func(f *htstand.UpstreamFaults) { f.Draining = true }, func(f *htstand.UpstreamFaults) { f.Draining = false })
	}},
	{"upstream-shedding", func(_ context.Context, r *soakRun) func() {
		return r.upstreamFault(func(f *htstand.UpstreamFaults) { f.ShedShare = 0.5 }, func(f *htstand.UpstreamFaults) { f.ShedShare = 0 })
	}},
	{"upstream-cut-answers", func(_ context.Context, r *soakRun) func() {
		return r.upstreamFault(func(f *htstand.UpstreamFaults) { f.TruncateResponses = 2 }, func(f *htstand.UpstreamFaults) { f.TruncateResponses = 0 })
	}},
	{"upstream-cold", func(_ context.Context, r *soakRun) func() {
		r.anyUpstream().SetCold(3 * time.Second)
		return nil
	}},
	{"upstream-crash", func(_ context.Context, r *soakRun) func() {
		r.anyUpstream().Crash(time.Second)
		return nil
	}},
	{"upstream-silent", func(_ context.Context, r *soakRun) func() {
		r.note(r.anyUpstream().SilenceConnections())
		return nil
	}},
	{"operators-racing", func(ctx context.Context, r *soakRun) func() {
		r.race(ctx)
		return nil
	}},
}

// note records an error of a step that should have worked.
func (r *soakRun) note(err error) {
	if err != nil {
		r.result.Violations = append(r.result.Violations, err.Error())
	}
}

func (r *soakRun) anyUpstream() *htstand.Upstream {
	return r.cluster.Upstreams[r.random.IntN(len(r.cluster.Upstreams))]
}

func (r *soakRun) upstreamFault(start, end func(*htstand.UpstreamFaults)) func() {
	u := r.anyUpstream()
	r.note(u.SetFaults(start))
	return func() { r.note(u.SetFaults(end)) }
}

// replaceHost ends a host and starts another in its place, as the platform does.
func (r *soakRun) replaceHost(end func(*ClusterHost)) {
	r.replaced++
	hosts := r.cluster.Hosts()
	old := hosts[r.random.IntN(len(hosts))]
	end(old)
	r.cluster.Remove(old)
	_, err := r.cluster.StartHost(fmt.Sprintf("replacement-%d", r.replaced), old.Domain, nil)
	r.note(err)
	r.client = htapi.NewClient(r.cluster.OperatorServers(), OperatorKey)
}

// race lets two operators take the same failure domain out and bring it back at
// once. Losing the race and an unavailable table service are not errors.
func (r *soakRun) race(ctx context.Context) {
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
