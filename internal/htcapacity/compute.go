package htcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htconfig"
	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htview"
	"hawthornturn/internal/httabletest"
)

// decision measures one offer with its finish in a shard, half of whose upstreams
// are busy.
func decision(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "upstreams in the shard", Units: []string{"cpu-us", "allocs"}}
	for _, n := range []int{10, 100, 1000, designWorkers} {
		now := time.Unix(0, 0)
		p := htdispatch.New(htdispatch.Config{QueueLimit: htresource.MaxQueueLimit}, now)
		p.SetUpstreams(now, upstreamsOf(n), false)
		request := func() htdispatch.Request {
			return htdispatch.Request{ID: "id", Service: "s", Caller: "c", Deadline: now.Add(time.Hour)}
		}
		var running []htdispatch.Start
		collect := func(actions []htdispatch.Action) {
			for _, a := range actions {
				if start, ok := a.(htdispatch.Start); ok {
					running = append(running, start)
				}
			}
		}
		for range n / 2 {
			collect(p.Offer(now, request()))
		}
		i := 0
		c := costOf(func() {
			i++
			now = now.Add(10 * time.Millisecond / time.Duration(n))
			at := i % len(running)
			ended := running[at]
			running[at] = running[len(running)-1]
			running = running[:len(running)-1]
			collect(p.Finish(now, ended.Ticket, htdispatch.Completed{Work: 5 * time.Millisecond}))
			collect(p.Offer(now, request()))
		})
		s.Points = append(s.Points, Point{float64(n), []float64{c.cpuUS, c.allocs}})
	}
	return s, nil
}

func upstreamsOf(n int) []htresource.Upstream {
	all := make([]htresource.Upstream, n)
	for i := range all {
		name := fmt.Sprintf("worker-%05d", i)
		all[i] = htresource.Upstream{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Domain: domainName(0), Slots: 2}
	}
	return all
}

// lookup measures what the front end and the router look up in the declared state
// for each call: service by host, rule, pool. The middle service stands for all.
func lookup(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "services", Units: []string{"cpu-us", "allocs"}}
	for _, n := range serviceSizes {
		set := declaredSet(n)
		middle := set.Services[n/2]
		c := costOf(func() {
			service, _ := set.ServiceByHost(middle.Hosts[0])
			set.Idempotent(service.Name, "GET", "/item")
			set.Pool(service.Pool)
		})
		s.Points = append(s.Points, Point{float64(n), []float64{c.cpuUS, c.allocs}})
	}
	return s, nil
}

// route measures one choice of a failure domain with its learning.
func route(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "failure domains of the pool", Units: []string{"cpu-us", "allocs"}}
	for _, n := range []int{2, 3, 6, 18} {
		r := htroute.New(rand.New(rand.NewPCG(1, 1)))
		var targets []htroute.Target
		for i := range n {
			targets = append(targets, htroute.Target{Shard: htview.PoolShard("pool", domainName(i)).String(), Domain: domainName(i)})
		}
		now := time.Unix(0, 0)
		c := costOf(func() {
			now = now.Add(time.Millisecond)
			t, _ := r.Choose(now, targets, nil)
			r.Sent(now, t.Shard)
			r.Seen(now, t.Shard, htcall.Load{InFlight: 3, Capacity: 10})
		})
		s.Points = append(s.Points, Point{float64(n), []float64{c.cpuUS, c.allocs}})
	}
	return s, nil
}

// memberSizes are the sizes at which ownership is computed.
var memberSizes = []int{16, 64, 128, 256, 512}

// owner measures one computation of a shard's owner, as made for each call.
func owner(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "members", Units: []string{"pool-cpu-us", "pool-allocs", "key-cpu-us", "key-allocs"}}
	shard := htview.PoolShard("service-0700", domainName(3))
	for _, n := range memberSizes {
		v := viewOf(n)
		pool := costOf(func() { v.Owner(shard) })
		key := costOf(func() { v.Owner(htview.Shard{Partition: 7}) })
		s.Points = append(s.Points, Point{float64(n), []float64{pool.cpuUS, pool.allocs, key.cpuUS, key.allocs}})
	}
	return s, nil
}

// ownership measures the owners of all shards of the design size, as a view change
// makes every host compute them, and the size of the view row.
func ownership(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "members", Units: []string{"cpu-ms", "view-row-bytes", "lease-row-bytes"}}
	shards := shardsOf(declaredSet(designServices))
	for _, n := range memberSizes {
		v := viewOf(n)
		c := costOf(func() {
			for _, shard := range shards {
				v.Owner(shard)
			}
		})
		row, err := json.Marshal(v)
		if err != nil {
			return s, err
		}
		lease, err := json.Marshal(htview.Lease{Host: v.Members[0].Host, Incarnation: v.Members[0].Incarnation, Sequence: 1e6, View: 1e4})
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(n), []float64{c.cpuUS / 1e3, float64(len(row)), float64(len(lease))}})
	}
	return s, nil
}

// snapshot measures what one change of the declared state costs the host that
// accepts it and a host that gets it, and what a poll and a full read cost.
func snapshot(ctx context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "services", Units: []string{"push-bytes", "row-bytes", "encode-ms", "receive-ms", "diff-ms", "load-ms", "poll-bytes", "heap-bytes"}}
	for _, n := range serviceSizes {
		p, err := snapshotPoint(ctx, n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, p)
	}
	return s, nil
}

func snapshotPoint(ctx context.Context, services int) (Point, error) {
	// First, while nothing else is on the heap that could be freed meanwhile.
	data, err := cbor.Marshal(declaredSet(services))
	if err != nil {
		return Point{}, err
	}
	heap := bytesOf(func() *htresource.Set { return receiveSet(data) })
	table := httabletest.New()
	ids := 0
	newID := func() string { ids++; return fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012x", ids) }
	set := declaredSet(services)
	for range 16 { // fills the list of recent transactions in the head row
		set.Domains[0].Region += "x"
		if _, err := htconfig.NewStore(table, newID).Apply(ctx, set, htconfig.Precondition{Any: true}, false); err != nil {
			return Point{}, err
		}
	}
	rows, err := table.Scan(ctx, "config/")
	if err != nil {
		return Point{}, err
	}
	rowBytes, pollBytes := 0, 0
	for _, r := range rows.Rows {
		data, err := json.Marshal(r)
		if err != nil {
			return Point{}, err
		}
		rowBytes += len(data)
		if r.Key == "config/head" {
			pollBytes = len(data)
		}
	}
	encode := costOf(func() { _, _ = cbor.Marshal(set) })
	receive := costOf(func() { receiveSet(data) })
	diff := costOf(func() { htresource.Diff(set, set) })
	load := costOf(func() { _, _ = htconfig.NewStore(table, newID).Load(ctx) })
	return Point{float64(services), []float64{
		float64(len(data)), float64(rowBytes), encode.cpuUS / 1e3, receive.cpuUS / 1e3, diff.cpuUS / 1e3, load.cpuUS / 1e3, float64(pollBytes), heap,
	}}, nil
}

// receiveSet does what a host does with a pushed set before it applies it.
func receiveSet(data []byte) *htresource.Set {
	var set *htresource.Set
	if err := cbor.Unmarshal(data, &set); err != nil {
		return nil
	}
	_ = set.Check()
	return set
}
