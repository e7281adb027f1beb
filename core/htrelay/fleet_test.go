package htrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

// Load of the users' sites, as their pages describe it: upstreams of two slots with a short
// queue work slower when both slots are busy, and neighbours make a quarter of them four
// times slower, each time for about 300 ms.
const (
	fleetWork   = 80 * time.Millisecond
	fleetTarget = 200 * time.Millisecond
	fleetGiven  = time.Second
	fleetSlots  = 2
	fleetQueue  = 4
	fleetKnee   = 1.7
	fleetNoise  = 4.0
	fleetShare  = 0.25
	fleetShift  = 300 * time.Millisecond
	fleetTrip   = time.Millisecond     // one way
	fleetAnswer = 2 * time.Millisecond // of a probe
	fleetSize   = 36                   // upstreams
)

// fleetUpstream is an upstream of the fleet.
type fleetUpstream struct {
	slots chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	speed   float64
}

// fleet is a set of upstreams that many hosts share. It is a Sender and a Prober.
type fleet struct {
	upstreams map[string]*fleetUpstream
	declared  []htcatalog.Upstream

	mu     sync.Mutex // guards probes
	probes int
}

func newFleet(ctx context.Context, n int, seed uint64) *fleet {
	f := &fleet{upstreams: map[string]*fleetUpstream{}}
	for i := range n {
		id := fmt.Sprintf("u%d", i)
		u := &fleetUpstream{slots: make(chan struct{}, fleetSlots), speed: 1}
		f.upstreams[id] = u
		f.declared = append(f.declared, htcatalog.Upstream{ID: id, Service: "s", Domain: "a", Slots: fleetSlots})
		go u.shift(ctx, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	return f
}

// shift changes the speed at random times.
func (u *fleetUpstream) shift(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		speed := 1.0
		if random.Float64() < fleetShare {
			speed = fleetNoise
		}
		u.mu.Lock()
		u.speed = speed
		u.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.ExpFloat64() * float64(fleetShift))):
		}
	}
}

func (u *fleetUpstream) report() *htselect.Observation {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &htselect.Observation{WorkTimePercent: int(100 * u.speed), Running: u.running, Waiting: u.waiting, Slots: fleetSlots}
}

func (u *fleetUpstream) add(running, waiting int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += running
	u.waiting += waiting
}

// Send implements Sender. The speed and the knee of each tenth of the work are those at its
// beginning.
func (f *fleet) Send(ctx context.Context, to htcatalog.Upstream, _ time.Time, _ *Call) Reply {
	u := f.upstreams[to.ID]
	time.Sleep(fleetTrip)
	u.add(0, 1)
	if u.report().Waiting > fleetQueue {
		u.add(0, -1)
		<-ctx.Done() // it never answers what it can't queue
		return Broken{Err: ctx.Err()}
	}
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		u.add(0, -1)
		return Broken{Err: ctx.Err()}
	}
	u.add(1, -1)
	begun := time.Now()
	for range 10 {
		u.mu.Lock()
		part := time.Duration(u.speed * float64(fleetWork) / 10)
		if u.running == fleetSlots {
			part = time.Duration(fleetKnee * float64(part))
		}
		u.mu.Unlock()
		select {
		case <-time.After(part):
		case <-ctx.Done():
			u.add(-1, 0)
			<-u.slots
			return Broken{Err: ctx.Err()}
		}
	}
	u.add(-1, 0)
	<-u.slots
	report := u.report()
	time.Sleep(fleetTrip)
	return Answered{Status: 200, Work: time.Since(begun), Report: report}
}

// Probe implements Prober.
func (f *fleet) Probe(_ context.Context, to htcatalog.Upstream, _ string) (htselect.Observation, error) {
	f.mu.Lock()
	f.probes++
	f.mu.Unlock()
	time.Sleep(fleetTrip + fleetAnswer)
	report := *f.upstreams[to.ID].report()
	report.ColdKnown = true
	time.Sleep(fleetTrip)
	return report, nil
}

// asked returns the number of probes so far.
func (f *fleet) asked() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes
}

// manyHosts is a group of some hosts.
type manyHosts int

// Size implements htselect.Group.
func (h manyHosts) Size(time.Time) int { return int(h) }

// RankAll implements htselect.Group.
func (h manyHosts) RankAll(uint64) int { return 0 }

// fleetCapacity is the calls a second that an upstream can answer if both slots are always
// busy, with its speed as it is on average.
func fleetCapacity() float64 {
	slow := 1 - fleetShare + fleetShare*fleetNoise
	return fleetSlots / (fleetKnee * slow * fleetWork.Seconds())
}

// playFleet sends calls to hosts in turn for some time, at a rate in shares of the capacity.
// Callers who are refused come back once, when they are told to, with what is left of their
// time; they count as late then.
func playFleet(t *testing.T, hosts int, load float64, idempotent bool, lasts time.Duration) (*tally, *fleet) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFleet(ctx, fleetSize, 1)
	relays := make([]*Relay, hosts)
	route := &htcatalog.Route{
		Name: "r", Idempotent: idempotent, Timeout: 2 * fleetGiven, Target: fleetTarget, Attempts: 2,
		Parts: []htcatalog.Part{{Service: "s", Weight: 1}},
	}
	config := &htcatalog.Config{Routes: []htcatalog.Route{*route}, Services: []htcatalog.Service{{Name: "s", ColdPerSecond: 4}}}
	limits := htselect.Limits{
		Retry:           htselect.RetryLimit{Ratio: 0.2, Extra: 2 * float64(hosts), Window: 10 * time.Second},
		ProbesPerSecond: 60,
	}
	for i := range relays {
		selector := htselect.New("a", manyHosts(hosts), limits, rand.New(rand.NewPCG(uint64(i), 2)))
		selector.Apply(time.Now(), htcatalog.New(config, f.declared, nil))
		relays[i] = New(selector, f, f, &events{}, time.Now)
	}
	got := &tally{}
	random := rand.New(rand.NewPCG(3, 4))
	rate := load * fleetCapacity() * float64(len(f.declared))
	var wait sync.WaitGroup
	for n, end := 0, time.Now().Add(lasts); time.Now().Before(end); n++ {
		relay := relays[random.IntN(hosts)]
		wait.Go(func() {
			begun := time.Now()
			a := callFleet(ctx, relay, route, fmt.Sprint(n), begun.Add(fleetGiven))
			if a.RetryAfter > 0 && time.Since(begun)+a.RetryAfter < fleetGiven {
				time.Sleep(a.RetryAfter)
				a = callFleet(ctx, relay, route, fmt.Sprint(n, "again"), begun.Add(fleetGiven))
			}
			got.add(a, time.Since(begun), fleetTarget)
		})
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	wait.Wait()
	time.Sleep(fleetGiven) // questions that nobody waits for end
	return got, f
}

func callFleet(ctx context.Context, r *Relay, route *htcatalog.Route, id string, deadline time.Time) *Answer {
	now := time.Now()
	return r.Serve(ctx, &Call{
		ID: id, Method: "GET", Host: "h", URI: "/x/" + id, Route: route, Arrived: now, Deadline: deadline, CallerTimeout: deadline.Sub(now),
	})
}
