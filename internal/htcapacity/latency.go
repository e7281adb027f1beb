package htcapacity

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencySliceDuration = 500 * time.Millisecond
	latencySliceCount    = 4
	// latencyWorkTime is the work time of the upstream.
	latencyWorkTime = 300 * time.Microsecond
)

// measureLatency measures the time from sending a call to the end of its response, for
// callers that send the next call after the previous response (closed loop).
func measureLatency(ctx context.Context, log func(string, ...any)) (series Series, err error) {
	series = Series{X: "callers"}
	for _, via := range callPaths {
		for _, unit := range []string{"p50-us", "p99-us", "calls", "failed"} {
			series.Units = append(series.Units, string(via)+"-"+unit)
		}
	}
	bench, err := newCallBench(ctx, latencyWorkTime)
	if err != nil {
		return series, err
	}
	defer func() { err = errors.Join(err, bench.close()) }()
	for _, callers := range []int{1, 2, 3, 4} {
		p, failed := bench.measureConcurrency(ctx, callers)
		log("%d callers: %v, last errors: %v", callers, p.Values, failed)
		series.Points = append(series.Points, p)
	}
	return series, nil
}

// measureConcurrency measures all paths with a number of concurrent callers. The paths
// alternate in slices; the first slice of each path is not counted. It also returns the
// joined last errors of the paths.
func (b *callBench) measureConcurrency(ctx context.Context, callers int) (p Point, failed error) {
	p = Point{Size: float64(callers)}
	totals := map[callPath]*pathTotals{}
	for slice := range latencySliceCount + 1 {
		for _, via := range callPaths {
			if slice <= 1 {
				totals[via] = newPathTotals()
			}
			b.sendClosedLoop(ctx, via, callers, totals[via])
		}
	}
	for _, via := range callPaths {
		s := totals[via]
		p.Values = append(p.Values, float64(s.latencies.ValueAtQuantile(50)), float64(s.latencies.ValueAtQuantile(99)),
			float64(s.latencies.TotalCount()), float64(s.failed.Load()))
		failed = errors.Join(failed, s.lastErr)
	}
	return p, failed
}

func (b *callBench) sendClosedLoop(ctx context.Context, via callPath, callers int, s *pathTotals) {
	var wait sync.WaitGroup
	end := time.Now().Add(latencySliceDuration)
	for range callers {
		wait.Go(func() {
			for time.Now().Before(end) {
				key := ""
				if via == pathKeyed {
					key = b.newKey()
				}
				b.timeCall(ctx, via, key, s)
			}
		})
	}
	wait.Wait()
}

// timeCall sends a call and records its latency, or counts it as failed.
func (b *callBench) timeCall(ctx context.Context, via callPath, key string, s *pathTotals) {
	sent := time.Now()
	err := b.sendCall(ctx, b.targets[via], key)
	taken := time.Since(sent).Microseconds()
	if err != nil {
		s.failed.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.lastErr = err
		return
	}
	_ = s.latencies.RecordValue(taken) // cannot fail: callTimeout is below the largest value
}

// pathTotals accumulates the results of all slices of one path.
type pathTotals struct {
	cpu       time.Duration
	wall      time.Duration
	failed    atomic.Int64
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // us
	lastErr   error
}

func newPathTotals() *pathTotals {
	const longest, digits = int64(10 * time.Second / time.Microsecond), 3
	return &pathTotals{latencies: hdrhistogram.New(1, longest, digits)}
}
