package htlab

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htresource"
	"hawthornturn/internal/htstand"
	"hawthornturn/io/htapi"
	"hawthornturn/io/htsettings"
)

// TableState is the state of the platform's table service in an experiment.
type TableState string

// The states of the table service. With TableDown, the outage begins right after the
// change that takes a failure domain out was accepted, and ends before the failure
// domain is brought back.
const (
	TableUp   TableState = "up"
	TableSlow TableState = "slow"
	TableDown TableState = "down"
)

// maxFirstApplyAttempts bounds the attempts to apply the declarations at the start.
const maxFirstApplyAttempts = 10

// slowTableDelay is the delay of every request to a slow table service.
const slowTableDelay = 400 * time.Millisecond

// Experiment sends a workload's calls while one upstream becomes cold unannounced
// and a failure domain is taken out and brought back.
type Experiment struct {
	Workload      Workload
	Hosts         int           // number of entry hosts; zero means that of the workload
	Load          float64       // rate of the calls as a share of the upstreams' capacity
	PhaseDuration time.Duration // length of each phase
	Seed          uint64
	Table         TableState
	Log           func(format string, args ...any)
}

// PhaseResult holds the results of one phase by service.
type PhaseResult struct {
	Phase    string            `json:"phase"`
	Services map[string]Result `json:"services"`
}

// Report is the result of an experiment. Times are in milliseconds.
type Report struct {
	Workload      string        `json:"workload"`
	Hosts         int           `json:"hosts"`
	Load          float64       `json:"load"`
	Seed          uint64        `json:"seed"`
	Table         TableState    `json:"table"`
	Phases        []PhaseResult `json:"phases"`
	OutInForceMS  int64         `json:"out-in-force-ms"`  // from accepted to in force
	LastNewWorkMS int64         `json:"last-new-work-ms"` // from accepted to the last request received in the failure domain; during phase "out", the Unix time of acceptance
	BackInForceMS int64         `json:"back-in-force-ms"`
	WritesPerSec  float64       `json:"table-writes-per-s"`
	ReadsPerSec   float64       `json:"table-reads-per-s"`
	Violations    []string      `json:"violations"`
	Samples       []string      `json:"samples"` // descriptions of the calls with violations
}

// experimentRun is the state of a running experiment.
type experimentRun struct {
	Experiment
	cluster *Cluster
	set     *htresource.Set
	client  *htapi.Client
	domain  string // the failure domain that is taken out
	report  Report
}

// Run runs the experiment. The report is incomplete if it returns an error.
func (e Experiment) Run(ctx context.Context) (Report, error) {
	if e.Hosts == 0 {
		e.Hosts = e.Workload.Hosts
	}
	cluster, err := NewCluster()
	if err != nil {
		return Report{}, err
	}
	r := &experimentRun{Experiment: e, cluster: cluster, report: Report{
		Workload: e.Workload.Name, Hosts: e.Hosts, Load: e.Load, Seed: e.Seed, Table: e.Table,
	}}
	err = r.prepare(ctx)
	if err == nil {
		err = r.runPhases(ctx)
	}
	return r.report, errors.Join(err, cluster.Close())
}

// prepare starts the upstreams and the hosts, applies the declarations and waits until
// key owners no longer reject calls with new keys.
func (r *experimentRun) prepare(ctx context.Context) error {
	var err error
	if r.set, err = r.Workload.Declarations(); err != nil {
		return err
	}
	r.domain = r.set.Domains[0].Name
	upstream := htstand.UpstreamSettings{Work: r.Workload.Work, Seed: r.Seed, ConnCost: time.Millisecond, ProbeCost: 5 * time.Millisecond, LoadLag: 500 * time.Millisecond}
	if err := r.cluster.StartUpstreams(r.set, upstream); err != nil {
		return err
	}
	for i := range r.Hosts {
		domain := r.set.Domains[i%len(r.set.Domains)].Name
		if _, err := r.cluster.StartHost(fmt.Sprintf("host-%d", i+1), domain, nil); err != nil {
			return err
		}
	}
	r.client = htapi.NewClient(r.cluster.OperatorServers(), OperatorKey)
	accepted, err := r.applyWithRetries(ctx)
	if err != nil {
		return err
	}
	if err := r.cluster.WaitReady(ctx, accepted); err != nil {
		return err
	}
	r.Log("%d hosts and %d upstreams ready, revision %d in force", r.Hosts, len(r.cluster.Upstreams), accepted)
	// A new key owner that did not receive a predecessor's state rejects calls with keys
	// created before it took over or within twice the maximum clock skew afterwards
	// (reason fenced).
	time.Sleep(2*htsettings.Defaults().MaxClockSkew + 100*time.Millisecond)
	return nil
}

// applyWithRetries applies the declarations. It retries because the writes of all
// joining hosts can exceed the rate limit of the table service.
func (r *experimentRun) applyWithRetries(ctx context.Context) (uint64, error) {
	for try := 1; ; try++ {
		revision, err := r.apply(ctx)
		if err == nil || try == maxFirstApplyAttempts {
			return revision, err
		}
		time.Sleep(time.Second)
	}
}

// apply sends the declared state through the operators' API.
func (r *experimentRun) apply(ctx context.Context) (uint64, error) {
	result, err := r.client.Apply(ctx, r.set, htconfig.Precondition{Any: true}, false)
	if err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	return result.Revision, nil
}

// runPhases runs the phases before, during and after the time in which the failure
// domain is out.
func (r *experimentRun) runPhases(ctx context.Context) error {
	before := r.cluster.Platform.Counts()
	start := time.Now()
	if r.Table == TableSlow {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.DelayMS = int(slowTableDelay.Milliseconds()) })
	}
	steps := []struct {
		name   string
		change func(context.Context) error
	}{
		{"before", r.makeUpstreamCold},
		{"out", r.takeDomainOut},
		{"back", r.bringDomainBack},
	}
	for _, s := range steps {
		if err := r.runPhase(ctx, s.name, s.change); err != nil {
			return err
		}
	}
	elapsed := time.Since(start).Seconds()
	after := r.cluster.Platform.Counts()
	r.report.WritesPerSec = float64(after.Writes-before.Writes) / elapsed
	r.report.ReadsPerSec = float64(after.Reads-before.Reads) / elapsed
	return nil
}

// runPhase sends calls to all services and calls change at the start of the phase.
func (r *experimentRun) runPhase(ctx context.Context, name string, change func(context.Context) error) error {
	r.Log("phase %s", name)
	result := PhaseResult{Phase: name, Services: map[string]Result{}}
	var mu sync.Mutex
	var errs []error
	var wg sync.WaitGroup
	for i, service := range r.set.Services {
		wg.Go(func() {
			got, err := r.runLoad(ctx, service, r.Seed+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			result.Services[service.Name] = got
			errs = append(errs, err)
		})
	}
	err := change(ctx)
	wg.Wait()
	if name == "out" {
		// LastNewWorkMS holds the time of acceptance, which takeDomainOut stored.
		r.report.LastNewWorkMS = max(0, r.lastWorkReceived()-r.report.LastNewWorkMS)
	}
	r.report.Phases = append(r.report.Phases, result)
	for service, got := range result.Services {
		for _, v := range got.Violations() {
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("phase %s, service %s: %s", name, service, v))
		}
		if got.Check != nil {
			r.report.Samples = append(r.report.Samples, got.Check.Samples...)
		}
	}
	return errors.Join(append(errs, err)...)
}

// runLoad sends the calls of one service for the duration of a phase.
func (r *experimentRun) runLoad(ctx context.Context, service htresource.Service, seed uint64) (Result, error) {
	path := DefaultPath
	for _, rule := range r.set.Rules {
		if rule.Service == service.Name {
			path = rule.PathPrefix + "work"
		}
	}
	load, err := NewLoad(LoadSettings{
		Hosts: r.cluster.CallerAddresses(), Upstreams: r.cluster.UpstreamAddresses(),
		Service: service.Hosts[0], Path: path, Rate: r.Load * r.Workload.capacity(r.set, service), Duration: r.PhaseDuration,
		Seed: seed, Lookups: r.Workload.Lookups, Bookings: r.Workload.Bookings, DuplicateShare: 0.1,
		Timeout: service.Timeout(0), BodyBytes: 256, ReadyEvery: 250 * time.Millisecond,
	})
	if err != nil {
		return Result{}, err
	}
	return load.Run(ctx)
}

// makeUpstreamCold makes one upstream outside r.domain cold, unannounced, for a
// quarter of the phase.
func (r *experimentRun) makeUpstreamCold(context.Context) error {
	for _, p := range r.set.Pools {
		for i, u := range p.Upstreams {
			if u.Domain != r.domain {
				upstream := r.cluster.Upstreams[i]
				if upstream.Address() != u.Address {
					continue
				}
				upstream.SetCold(r.PhaseDuration / 4)
				r.Log("upstream %s made cold", u.Name)
				return nil
			}
		}
	}
	return nil
}

// takeDomainOut declares the failure domain out and waits until the change is in
// force.
func (r *experimentRun) takeDomainOut(ctx context.Context) error {
	accepted, inForce, err := r.setDomainState(ctx, htresource.DomainOut)
	if err != nil {
		return err
	}
	r.report.OutInForceMS = inForce
	// At the end of the phase, runPhase replaces this Unix time by the time from
	// acceptance to the last request.
	r.report.LastNewWorkMS = accepted.UnixMilli()
	r.Log("failure domain %s out, in force after %d ms", r.domain, inForce)
	return nil
}

// bringDomainBack ends an outage of the table service, declares the failure domain in
// and waits until the change is in force.
func (r *experimentRun) bringDomainBack(ctx context.Context) error {
	if r.Table == TableDown {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.Down = false })
	}
	_, inForce, err := r.setDomainState(ctx, htresource.DomainIn)
	if err != nil {
		return err
	}
	r.report.BackInForceMS = inForce
	r.Log("failure domain %s back, in force after %d ms", r.domain, inForce)
	return nil
}

// setDomainState declares a state of the failure domain. It returns when the change
// was accepted and how many milliseconds later it was in force.
func (r *experimentRun) setDomainState(ctx context.Context, state htresource.DomainState) (time.Time, int64, error) {
	for i := range r.set.Domains {
		if r.set.Domains[i].Name == r.domain {
			r.set.Domains[i].State = state
		}
	}
	revision, err := r.apply(ctx)
	if err != nil {
		return time.Time{}, 0, err
	}
	accepted := time.Now()
	if r.Table == TableDown && state == htresource.DomainOut {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.Down = true })
	}
	for {
		status, err := r.client.Status(ctx, revision)
		if err != nil {
			return time.Time{}, 0, err
		}
		if status.InForce {
			return accepted, time.Since(accepted).Milliseconds(), nil
		}
		select {
		case <-time.After(clusterPollInterval):
		case <-ctx.Done():
			return time.Time{}, 0, fmt.Errorf("revision %d not in force: %w", revision, ctx.Err())
		}
	}
}

// lastWorkReceived returns the time, in Unix milliseconds, at which an upstream of the
// failure domain last received a request.
func (r *experimentRun) lastWorkReceived() int64 {
	inDomain := map[string]bool{}
	for _, p := range r.set.Pools {
		for _, u := range p.Upstreams {
			inDomain[u.Name] = u.Domain == r.domain
		}
	}
	var last int64
	for _, u := range r.cluster.Upstreams {
		if inDomain[u.Name()] {
			last = max(last, u.Record().LastReceived)
		}
	}
	return last
}
