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

// measureDecision measures the cost of one Offer and one Finish in a shard in which half
// of the upstreams are busy.
func measureDecision(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "upstreams in the shard", Units: []string{"cpu-us", "allocs"}}
	for _, n := range []int{10, 100, 1000, designWorkers} {
		now := time.Unix(0, 0)
		p := htdispatch.New(htdispatch.Config{QueueLimit: htresource.MaxQueueLimit}, now)
		p.SetUpstreams(now, makeUpstreams(n), false)
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
		c := measureCost(func() {
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

func makeUpstreams(n int) []htresource.Upstream {
	all := make([]htresource.Upstream, n)
	for i := range all {
		name := fmt.Sprintf("worker-%05d", i)
		all[i] = htresource.Upstream{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Domain: domainName(0), Slots: 2}
	}
	return all
}

// measureLookup measures the lookups in the declared state that the front end and the
// router make for each call: service by host, rule and pool. It looks up the service in
// the middle of the list, which represents the average one.
func measureLookup(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "services", Units: []string{"cpu-us", "allocs"}}
	for _, n := range serviceSizes {
		set := declaredSet(n)
		middle := set.Services[n/2]
		c := measureCost(func() {
			service, _ := set.ServiceByHost(middle.Hosts[0])
			set.Idempotent(service.Name, "GET", "/item")
			set.Pool(service.Pool)
		})
		s.Points = append(s.Points, Point{float64(n), []float64{c.cpuUS, c.allocs}})
	}
	return s, nil
}

// measureRoute measures one choice of a failure domain, including the update of the
// router's load data.
func measureRoute(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "failure domains of the pool", Units: []string{"cpu-us", "allocs"}}
	for _, n := range []int{2, 3, 6, 18} {
		r := htroute.New(rand.New(rand.NewPCG(1, 1)))
		var targets []htroute.Target
		for i := range n {
			targets = append(targets, htroute.Target{Shard: htview.PoolShard("pool", domainName(i)).String(), Domain: domainName(i)})
		}
		now := time.Unix(0, 0)
		c := measureCost(func() {
			now = now.Add(time.Millisecond)
			t, _ := r.Choose(now, targets, nil)
			r.Sent(now, t.Shard)
			r.Seen(now, t.Shard, htcall.Load{InFlight: 3, Capacity: 10})
		})
		s.Points = append(s.Points, Point{float64(n), []float64{c.cpuUS, c.allocs}})
	}
	return s, nil
}

// memberSizes are the numbers of members at which ownership is measured.
var memberSizes = []int{16, 64, 128, 256, 512}

// measureOwner measures one computation of the owner of a pool shard and of a key
// partition, as made for each call.
func measureOwner(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "members", Units: []string{"pool-cpu-us", "pool-allocs", "key-cpu-us", "key-allocs"}}
	shard := htview.PoolShard("service-0700", domainName(3))
	for _, n := range memberSizes {
		v := makeView(n)
		pool := measureCost(func() { v.Owner(shard) })
		key := measureCost(func() { v.Owner(htview.Shard{Partition: 7}) })
		s.Points = append(s.Points, Point{float64(n), []float64{pool.cpuUS, pool.allocs, key.cpuUS, key.allocs}})
	}
	return s, nil
}

// measureOwnership measures the computation of the owners of all shards at the design
// size, which every host makes after a view change, and the sizes of the view row and
// of a lease row.
func measureOwnership(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "members", Units: []string{"cpu-ms", "view-row-bytes", "lease-row-bytes"}}
	shards := shardsOf(declaredSet(designServices))
	for _, n := range memberSizes {
		v := makeView(n)
		c := measureCost(func() {
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

// measureSnapshot measures the cost of one change of the declared state on the host that
// accepts it and on a host that receives it, and the cost of a poll and of a full read.
func measureSnapshot(ctx context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "services", Units: []string{"push-bytes", "row-bytes", "encode-ms", "receive-ms", "diff-ms", "load-ms", "poll-bytes", "heap-bytes"}}
	for _, n := range serviceSizes {
		p, err := snapshotAtSize(ctx, n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, p)
	}
	return s, nil
}

func snapshotAtSize(ctx context.Context, services int) (Point, error) {
	// The heap is measured first, while it holds nothing else that could be freed during
	// the measurement.
	data, err := cbor.Marshal(declaredSet(services))
	if err != nil {
		return Point{}, err
	}
	heap := measureHeap(func() *htresource.Set { return receiveSet(data) })
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
	encode := measureCost(func() { _, _ = cbor.Marshal(set) })
	receive := measureCost(func() { receiveSet(data) })
	diff := measureCost(func() { htresource.Diff(set, set) })
	load := measureCost(func() { _, _ = htconfig.NewStore(table, newID).Load(ctx) })
	return Point{float64(services), []float64{
		float64(len(data)), float64(rowBytes), encode.cpuUS / 1e3, receive.cpuUS / 1e3, diff.cpuUS / 1e3, load.cpuUS / 1e3, float64(pollBytes), heap,
	}}, nil
}

// receiveSet decodes and checks a pushed set, as a host does before it applies the set.
// It returns nil if the set cannot be decoded.
func receiveSet(data []byte) *htresource.Set {
	var set *htresource.Set
	if err := cbor.Unmarshal(data, &set); err != nil {
		return nil
	}
	_ = set.Check()
	return set
}
