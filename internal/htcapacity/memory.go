package htcapacity

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htpath"
	"hawthornturn/core/htview"
)

// measureUpstreamMemory measures the heap size of one shard by its number of upstreams.
func measureUpstreamMemory(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "upstreams in the shard", Units: []string{"heap-bytes"}}
	now := time.Unix(0, 0)
	for _, n := range []int{1000, 4000, 10000, designWorkers} {
		declared := makeUpstreams(n)
		heap := measureHeap(func() *htdispatch.Pool {
			p := htdispatch.New(htdispatch.Config{}, now)
			p.SetUpstreams(now, declared, false)
			return p
		})
		s.Points = append(s.Points, Point{float64(n), []float64{heap}})
	}
	return s, nil
}

// measureShardMemory measures the heap size of the dispatchers of shards with five
// upstreams each, and the CPU time of one timer run and of one SetLeaving over all of
// them.
func measureShardMemory(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "pool shards", Units: []string{"heap-bytes", "tick-cpu-us", "apply-cpu-ms"}}
	for _, n := range []int{100, 400, 1300, 3900} {
		now := time.Unix(0, 0)
		set := declaredSet((n + domainsPerPool - 1) / domainsPerPool)
		var shards *htpath.Shards
		heap := measureHeap(func() *htpath.Shards {
			shards = htpath.NewShards(nil, nil, nil, func() time.Time { return now })
			shards.Apply(set)
			for _, shard := range shardsOf(set) {
				if shard.IsPool() {
					shards.Install(shard, nil)
				}
			}
			return shards
		})
		tick := measureCost(func() { shards.Tick(now) })
		apply := measureCost(func() { shards.SetLeaving(map[string]bool{}) })
		s.Points = append(s.Points, Point{float64(n), []float64{heap, tick.cpuUS, apply.cpuUS / 1e3}})
	}
	return s, nil
}

// measureKeyMemory measures the heap size of key records without stored responses, and
// the CPU time of the Begin and Finish of one call at an owner with that many records.
func measureKeyMemory(_ context.Context, _ func(string, ...any)) (Series, error) {
	s := Series{X: "key records", Units: []string{"heap-bytes", "cpu-us"}}
	for _, n := range []int{10000, 50000, 200000, 1000000} {
		owner := htonce.New(htonce.Config{MaxPartitionRecords: 2 * n})
		for i := range htview.KeyPartitions {
			if err := owner.Install(time.Now().Add(-time.Minute), htview.Shard{Partition: i}, nil); err != nil {
				return s, err
			}
		}
		run := func() {
			key, err := uuid.NewV7()
			if err != nil {
				return
			}
			fingerprint := fmt.Sprintf("POST\x00/bookings/%s\x00caller-12", key)
			now := time.Now()
			owner.Begin(now, now.Add(time.Second), "service-0700", key.String(), fingerprint)
			owner.Finish(now, "service-0700", key.String(), htcall.Done, htcall.ReasonNone, nil)
		}
		heap := measureHeap(func() *htonce.Owner {
			for range n {
				run()
			}
			return owner
		})
		c := measureCost(run)
		s.Points = append(s.Points, Point{float64(n), []float64{heap, c.cpuUS}})
	}
	return s, nil
}
