package htrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htselect"
)

// sheddingSender rejects a share of the calls, however few are running.
type sheddingSender struct {
	mu    sync.Mutex
	rng   *rand.Rand
	share float64
	work  time.Duration
}

// Send implements Sender.
func (s *sheddingSender) Send(context.Context, htcatalog.Upstream, time.Time, *Call) Reply {
	s.mu.Lock()
	rejected := s.rng.Float64() < s.share
	s.mu.Unlock()
	if rejected {
		time.Sleep(2 * time.Millisecond)
		return Refused{}
	}
	time.Sleep(s.work)
	return Answered{Status: http.StatusOK, Work: s.work}
}

// Guards against callers that are late because they are told to come back after the work time
// of a call although upstreams are free. All upstreams reject 55% of their calls although few
// calls run, and the retry budget is spent. Callers come back twice, when they are told to.
func TestCallersOfSheddingUpstreamsAreOnTime(t *testing.T) {
	const (
		callers   = 400
		returns   = 2
		target    = 200 * time.Millisecond // of the fixture's route
		wantShare = 0.8                    // 1 - 0.55^3 = 0.83 are accepted in three attempts
	)
	synctest.Test(t, func(t *testing.T) {
		sender := &sheddingSender{rng: rand.New(rand.NewPCG(7, 7)), share: 0.55, work: 80 * time.Millisecond}
		w := newFixtureWithLimits(htselect.Limits{ProbesPerSecond: 60}, sender)
		onTime := 0
		for range callers {
			start := time.Now()
			for range returns + 1 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				answer := w.serve(ctx)
				cancel()
				if answer.Status == http.StatusOK {
					if time.Since(start) <= target {
						onTime++
					}
					break
				}
				time.Sleep(answer.RetryAfter)
			}
			time.Sleep(time.Second)
		}
		if share := float64(onTime) / callers; share < wantShare {
			t.Errorf("%.2f of the callers are on time, want %.2f", share, wantShare)
		}
	})
}
