package htdispatch

import (
	"fmt"
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"

	"pgregory.net/rapid"
)

// modelChecker tracks the actions of a Pool independently of its internal state and checks
// the invariants against this record.
type modelChecker struct {
	t            *rapid.T
	p            *Pool
	now          time.Time
	seq          int
	declared     map[string]htresource.Upstream
	domainOut    bool
	running      []Start
	held         map[string][]time.Time // by upstream: latest time at which it ends each request without a result
	reportedCold map[string]bool        // upstreams whose last report was cold
	waiting      map[string]Request
	probing      []string
	probed       map[string]int
	since        time.Time
}

const (
	sequenceGrace  = 250 * ms // Config.CancelGrace
	sequenceCold   = 2
	sequenceQueue  = 5
	sequenceProbes = 4.0
)

func (o *modelChecker) apply(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Start:
			o.resolve(v.Request)
			o.started(v)
		case Refuse:
			o.resolve(v.Request)
		case Probe:
			o.probing = append(o.probing, v.Upstream.Name)
			o.probed[v.Upstream.Name]++
			o.require(float64(o.probed[v.Upstream.Name]) <= sequenceProbes*o.now.Sub(o.since).Seconds(), "probes of %s beyond the budget", v.Upstream.Name)
		}
	}
	o.require(len(o.waiting) <= sequenceQueue && len(o.waiting) == o.p.Load(o.now).Queued, "%d waiting, load %+v", len(o.waiting), o.p.Load(o.now))
	root := o.p.queue.root
	o.require(root.positionCount <= root.count, "%d positions for %d requests", root.positionCount, root.count)
	capacity := 0
	for _, u := range o.p.Dump().Upstreams {
		if !u.Leaving && !o.domainOut && !o.p.frozen {
			capacity += u.Allowed
		}
		o.require(u.Leaving || u.Allowed <= u.Slots, "%+v", u)
	}
	o.require(o.p.Load(o.now).Capacity == capacity, "capacity %d, load %+v", capacity, o.p.Load(o.now))
	next := o.p.NextTick(o.now)
	for _, r := range o.waiting {
		o.require(!next.IsZero() && !next.After(r.Deadline), "%s waits past its deadline without a tick", r.ID)
		o.require(o.p.ready.len() == 0, "%s waits although an upstream is ready", r.ID)
	}
}

// resolve checks that each request is started or refused exactly once.
func (o *modelChecker) resolve(r Request) {
	_, known := o.waiting[r.ID]
	o.require(known, "%s started or refused twice", r.ID)
	delete(o.waiting, r.ID)
}

func (o *modelChecker) started(v Start) {
	name := v.Upstream.Name
	declared, known := o.declared[name]
	o.require(known && !declared.Leaving && !o.domainOut && !o.p.frozen, "start on %s, out %v, frozen %v", name, o.domainOut, o.p.frozen)
	o.require(!v.Deadline.After(v.Request.Deadline) && v.Deadline.After(o.now), "deadline %s", v.Deadline)
	o.running = append(o.running, v)
	n := 0
	for _, r := range o.running {
		if r.Upstream.Name == name {
			n++
		}
	}
	for _, until := range o.held[name] {
		if !until.Before(o.now) {
			n++
		}
	}
	o.require(n <= declared.Slots, "%d in flight on %s with %d slots", n, name, declared.Slots)
	o.require(!o.reportedCold[name] || n <= sequenceCold, "%d in flight on cold %s", n, name)
}

func (o *modelChecker) require(ok bool, format string, args ...any) {
	if !ok {
		o.t.Fatalf(format, args...)
	}
}

func (o *modelChecker) declare() {
	o.declared = map[string]htresource.Upstream{}
	var all []htresource.Upstream
	for i := range 3 {
		if rapid.IntRange(0, 5).Draw(o.t, "kind") == 0 {
			continue
		}
		u := htresource.Upstream{Name: fmt.Sprintf("u%d", i), Slots: rapid.IntRange(1, 4).Draw(o.t, "slots")}
		u.Leaving = rapid.IntRange(0, 5).Draw(o.t, "leaving") == 0
		o.declared[u.Name] = u
		all = append(all, u)
	}
	o.domainOut = rapid.IntRange(0, 4).Draw(o.t, "out") == 0
	o.apply(o.p.SetUpstreams(o.now, all, o.domainOut))
}

func (o *modelChecker) offer() {
	o.seq++
	r := Request{
		ID:      fmt.Sprint(o.seq),
		Service: rapid.SampledFrom([]string{"s", "t"}).Draw(o.t, "service"),
		Caller:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(o.t, "caller"),
	}
	r.Deadline = o.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(o.t, "deadline")) * ms)
	o.waiting[r.ID] = r
	o.apply(o.p.Offer(o.now, r))
}

func (o *modelChecker) report() Report {
	return Report{
		State: rapid.SampledFrom([]UpstreamState{StateUnknown, StateWarm, StateWarm, StateCold, StateDraining}).Draw(o.t, "state"),
		Slots: rapid.IntRange(0, 6).Draw(o.t, "reported"),
	}
}

func (o *modelChecker) finish() {
	if len(o.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(o.running)-1).Draw(o.t, "which")
	v := o.running[at]
	o.running = append(o.running[:at], o.running[at+1:]...)
	report := o.report()
	results := []Result{
		Completed{Work: time.Duration(rapid.IntRange(0, 200).Draw(o.t, "work")) * ms, Report: report},
		Completed{Work: 10 * ms, Report: report},
		Refused{Report: report},
		NotSent{},
		NotSent{Local: true},
		ConnectionLost{},
		ConnectionLost{TimedOut: true},
		Abandoned{},
		Abandoned{DeadlinePassed: true},
	}
	result := rapid.SampledFrom(results).Draw(o.t, "result")
	name := v.Upstream.Name
	switch r := result.(type) {
	case Completed, Refused:
		o.reportedCold[name] = report.State == StateCold
	case ConnectionLost:
		o.held[name] = append(o.held[name], v.Deadline)
	case Abandoned:
		until := v.Deadline
		// Upstreams support cancellation, which takes effect within CancelGrace.
		if ends := o.now.Add(sequenceGrace); !r.DeadlinePassed && ends.Before(until) {
			until = ends
		}
		o.held[name] = append(o.held[name], until)
	}
	o.apply(o.p.Finish(o.now, v.Ticket, result))
	o.apply(o.p.Finish(o.now, v.Ticket, ConnectionLost{}))
}

func (o *modelChecker) probeDone() {
	if len(o.probing) == 0 {
		return
	}
	name := o.probing[0]
	o.probing = o.probing[1:]
	o.apply(o.p.ProbeDone(o.now, name, rapid.Bool().Draw(o.t, "ok"), o.report()))
}

func (o *modelChecker) advance() {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(o.t, "wait")) * ms)
	o.apply(o.p.Tick(o.now))
}

func (o *modelChecker) cancel() {
	id := fmt.Sprint(rapid.IntRange(max(1, o.seq-8), o.seq+1).Draw(o.t, "id"))
	o.apply(o.p.Cancel(o.now, id))
}

// handOver freezes the Pool and replaces it by a new owner that restores its slots.
func (o *modelChecker) handOver() {
	o.apply(o.p.Freeze(o.now))
	o.require(len(o.waiting) == 0 && o.p.Load(o.now) == htcall.Load{InFlight: len(o.p.OccupiedSlots()), Shedding: o.p.Load(o.now).Shedding}, "after freeze: %+v", o.p.Load(o.now))
	occupied := o.p.OccupiedSlots()
	warmups, times := o.p.LearnedState()
	o.p = New(sequenceConfig, o.now)
	o.p.RestoreSlots(o.now, occupied)
	for _, v := range o.running {
		o.held[v.Upstream.Name] = append(o.held[v.Upstream.Name], v.Deadline)
	}
	o.running, o.probing = nil, nil
	o.declare()
	o.apply(o.p.RestoreLearnedState(o.now, warmups, times))
}

var sequenceConfig = Config{ColdLimit: sequenceCold, QueueLimit: sequenceQueue, ProbesPerSec: sequenceProbes, ProbeIdleTime: 500 * ms}

// Guards against sequences of failures that together violate an invariant: slot limit,
// cold limit, probe budget, no requests to a leaving upstream, one decision per request,
// bounded queue, no ready upstream while requests are queued.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &modelChecker{
			t: t, now: time.Unix(1000, 0), since: time.Unix(1000, 0), p: New(sequenceConfig, time.Unix(1000, 0)),
			held: map[string][]time.Time{}, reportedCold: map[string]bool{}, waiting: map[string]Request{}, probed: map[string]int{},
		}
		o.declare()
		steps := []func(){o.offer, o.offer, o.offer, o.offer, o.offer, o.finish, o.finish, o.finish, o.finish, o.advance, o.advance, o.probeDone, o.probeDone, o.cancel, o.declare, o.handOver}
		for range rapid.IntRange(1, 150).Draw(t, "length") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			o.require(o.p.inFlight >= len(o.running), "%d in flight, %d running", o.p.inFlight, len(o.running))
		}
	})
}
