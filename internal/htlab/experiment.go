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

// The states of the table service. Down begins right after the change that takes a
// failure domain out was accepted, and ends before it is returned.
const (
	TableUp   TableState = "up"
	TableSlow TableState = "slow"
	TableDown TableState = "down"
)

// firstTries bounds the attempts at the first apply.
const firstTries = 10

// slowTable is the delay of every request to a slow table service.
const slowTable = 400 * time.Millisecond

// Experiment sends a workload's calls while one upstream goes cold without warning
// and a failure domain is taken out and returned.
type Experiment struct {
	Workload Workload
	Hosts    int           // entry hosts; zero means the workload's number
	Load     float64       // share of the upstreams' capacity
	Phase    time.Duration // length of each phase
	Seed     uint64
	Table    TableState
	Log      func(format string, args ...any)
}

// PhaseResult is what callers got in one phase, by service.
type PhaseResult struct {
	Phase    string            `json:"phase"`
	Services map[string]Result `json:"services"`
}

// Report is the result of an experiment. Times are in milliseconds.
type Report struct {
	Workload     string        `json:"workload"`
	Hosts        int           `json:"hosts"`
	Load         float64       `json:"load"`
	Seed         uint64        `json:"seed"`
	Table        TableState    `json:"table"`
	Phases       []PhaseResult `json:"phases"`
	OutInForceMS int64         `json:"out-in-force-ms"`  // from accepted to in force
	LastWorkMS   int64         `json:"last-new-work-ms"` // from accepted to the last work received in the failure domain
	BackMS       int64         `json:"back-in-force-ms"`
	WritesPerSec float64       `json:"table-writes-per-s"`
	ReadsPerSec  float64       `json:"table-reads-per-s"`
	Violations   []string      `json:"violations"`
	Samples      []string      `json:"samples"` // of calls behind the violations
}

// run is an experiment under way.
type run struct {
	Experiment
	cluster *Cluster
	set     *htresource.Set
	client  *htapi.Client
	domain  string // the failure domain that is taken out
	report  Report
}

// Run carries out the experiment.
func (e Experiment) Run(ctx context.Context) (Report, error) {
	if e.Hosts == 0 {
		e.Hosts = e.Workload.Hosts
	}
	cluster, err := NewCluster()
	if err != nil {
		return Report{}, err
	}
	r := &run{Experiment: e, cluster: cluster, report: Report{
		Workload: e.Workload.Name, Hosts: e.Hosts, Load: e.Load, Seed: e.Seed, Table: e.Table,
	}}
	err = r.prepare(ctx)
	if err == nil {
		err = r.phases(ctx)
	}
	return r.report, errors.Join(err, cluster.Close())
}

// prepare starts the stand-ins and the hosts and applies the declarations.
func (r *run) prepare(ctx context.Context) error {
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
	accepted, err := r.applyFirst(ctx)
	if err != nil {
		return err
	}
	if err := r.cluster.WaitReady(ctx, accepted); err != nil {
		return err
	}
	r.Log("%d hosts and %d upstreams ready, revision %d in force", r.Hosts, len(r.cluster.Upstreams), accepted)
	// Owners that start without a predecessor's memory fence keys at first.
	time.Sleep(2*htsettings.Defaults().MaxClockSkew + 100*time.Millisecond)
	return nil
}

// applyFirst applies the declarations while all hosts are joining, which can take
// the table service over its rate.
func (r *run) applyFirst(ctx context.Context) (uint64, error) {
	for try := 1; ; try++ {
		revision, err := r.apply(ctx)
		if err == nil || try == firstTries {
			return revision, err
		}
		time.Sleep(time.Second)
	}
}

// apply sends the declared state through the operators' API.
func (r *run) apply(ctx context.Context) (uint64, error) {
	result, err := r.client.Apply(ctx, r.set, htconfig.Precondition{Any: true}, false)
	if err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	return result.Revision, nil
}

// phases runs the calls before, during and after the absence of the domain.
func (r *run) phases(ctx context.Context) error {
	before := r.cluster.Platform.Counts()
	start := time.Now()
	if r.Table == TableSlow {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.DelayMS = int(slowTable.Milliseconds()) })
	}
	steps := []struct {
		name   string
		change func(context.Context) error
	}{
		{"before", r.goCold},
		{"out", r.takeOut},
		{"back", r.bring},
	}
	for _, s := range steps {
		if err := r.phase(ctx, s.name, s.change); err != nil {
			return err
		}
	}
	elapsed := time.Since(start).Seconds()
	after := r.cluster.Platform.Counts()
	r.report.WritesPerSec = float64(after.Writes-before.Writes) / elapsed
	r.report.ReadsPerSec = float64(after.Reads-before.Reads) / elapsed
	return nil
}

// phase sends calls to all services and makes a change at its start.
func (r *run) phase(ctx context.Context, name string, change func(context.Context) error) error {
	r.Log("phase %s", name)
	result := PhaseResult{Phase: name, Services: map[string]Result{}}
	var mu sync.Mutex
	var failed []error
	var wait sync.WaitGroup
	for i, service := range r.set.Services {
		wait.Go(func() {
			got, err := r.load(ctx, service, r.Seed+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			result.Services[service.Name] = got
			failed = append(failed, err)
		})
	}
	err := change(ctx)
	wait.Wait()
	if name == "out" {
		r.report.LastWorkMS = max(0, r.lastWork()-r.report.LastWorkMS)
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
	return errors.Join(append(failed, err)...)
}

// load sends one service's calls for a phase.
func (r *run) load(ctx context.Context, service htresource.Service, seed uint64) (Result, error) {
	path := DefaultPath
	for _, rule := range r.set.Rules {
		if rule.Service == service.Name {
			path = rule.PathPrefix + "work"
		}
	}
	load, err := NewLoad(LoadSettings{
		Hosts: r.cluster.CallerAddresses(), Upstreams: r.cluster.UpstreamAddresses(),
		Service: service.Hosts[0], Path: path, Rate: r.Load * r.Workload.capacity(r.set, service), Duration: r.Phase,
		Seed: seed, Lookups: r.Workload.Lookups, Bookings: r.Workload.Bookings, TwiceShare: 0.1,
		Timeout: service.Timeout(0), BodyBytes: 256, ReadyEvery: 250 * time.Millisecond,
	})
	if err != nil {
		return Result{}, err
	}
	return load.Run(ctx)
}

// goCold makes an upstream of the domain that stays go cold without warning.
func (r *run) goCold(context.Context) error {
	for _, p := range r.set.Pools {
		for i, u := range p.Upstreams {
			if u.Domain != r.domain {
				stand := r.cluster.Upstreams[i]
				if stand.Address() != u.Address {
					continue
				}
				stand.SetCold(r.Phase / 4)
				r.Log("upstream %s went cold", u.Name)
				return nil
			}
		}
	}
	return nil
}

// takeOut declares the failure domain out and waits until that is in force.
func (r *run) takeOut(ctx context.Context) error {
	accepted, inForce, err := r.setDomain(ctx, htresource.DomainOut)
	if err != nil {
		return err
	}
	r.report.OutInForceMS = inForce
	r.report.LastWorkMS = accepted.UnixMilli()
	r.Log("failure domain %s out, in force after %d ms", r.domain, inForce)
	return nil
}

// bring declares the failure domain in again.
func (r *run) bring(ctx context.Context) error {
	if r.Table == TableDown {
		r.cluster.Platform.SetFaults(func(f *htstand.PlatformFaults) { f.Down = false })
	}
	_, inForce, err := r.setDomain(ctx, htresource.DomainIn)
	if err != nil {
		return err
	}
	r.report.BackMS = inForce
	r.Log("failure domain %s back, in force after %d ms", r.domain, inForce)
	return nil
}

// setDomain declares a state and returns when it was accepted and how many
// milliseconds later it was in force.
func (r *run) setDomain(ctx context.Context, state htresource.DomainState) (time.Time, int64, error) {
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
		case <-time.After(clusterPoll):
		case <-ctx.Done():
			return time.Time{}, 0, fmt.Errorf("revision %d not in force: %w", revision, ctx.Err())
		}
	}
}

// lastWork returns when an upstream of the domain last received work.
func (r *run) lastWork() int64 {
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
