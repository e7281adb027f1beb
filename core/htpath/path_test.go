package htpath

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

// withCluster runs a test with a new cluster in virtual time.
func withCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		test(t, c)
	})
}

// earnRetryBudget makes enough calls through the hosts for them to have retry budget.
func earnRetryBudget(c *cluster, hosts ...string) {
	for i := range 40 * len(hosts) {
		c.sendCall(hosts[i%len(hosts)], fmt.Sprintf("/earn/%d", i), "", time.Second)
	}
}

// TestCopiesRunOnce guards against a second run when a caller sends a keyed
// request again, at the same time or later, through another host.
func TestCopiesRunOnce(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		key := c.newKey()
		var wait sync.WaitGroup
		for i := range 3 {
			wait.Go(func() {
				got := c.sendCall(fmt.Sprintf("host-%d", i), "/book", key, time.Second)
				if got.outcome != htcall.Done || got.body != "answer to /book" {
					t.Errorf("copy %d: %+v", i, got)
				}
			})
		}
		wait.Wait()
		if got := c.sendCall("host-1", "/book", key, time.Second); got.body != "answer to /book" {
			t.Errorf("late copy: %+v", got)
		}
		if runs := c.upstreams.count("/book"); runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

// TestKeyBelongsToOneRequest guards against answering a request with the stored
// answer of another one that used the same key.
func TestKeyBelongsToOneRequest(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		key := c.newKey()
		c.sendCall("host-0", "/book", key, time.Second)
		got := c.sendCall("host-1", "/other", key, time.Second)
		if got.outcome != htcall.NotRun || got.reason != htcall.ReasonKeyReused || c.upstreams.count("/other") != 0 {
			t.Errorf("%+v, %d runs", got, c.upstreams.count("/other"))
		}
	})
}

// TestHandOverKeepsKeys guards against a planned stop after which the new owner runs
// a key again or has lost its answer.
func TestHandOverKeepsKeys(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		key := c.newKey()
		c.sendCall("host-1", "/book", key, time.Second)
		owner, _ := c.view.Owner(htview.KeyShard("shop", key))
		c.handOver(c.hosts[owner.Host])
		for _, m := range c.view.Members {
			if got := c.sendCall(m.Host, "/book", key, time.Second); got.body != "answer to /book" {
				t.Errorf("through %s: %+v", m.Host, got)
			}
		}
		if runs := c.upstreams.count("/book"); runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

// TestHandOverReportsEnd guards against a key whose outcome stays unknown at the new
// owner, although its request ended at the old owner after the hand-over.
func TestHandOverReportsEnd(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		key := c.newKey()
		owner, _ := c.view.Owner(htview.KeyShard("shop", key))
		first := make(chan callResult)
		go func() { first <- c.sendCall(owner.Host, "/book", key, time.Second) }()
		time.Sleep(testWork / 2)
		c.handOver(c.hosts[owner.Host])
		if got := <-first; got.outcome != htcall.Done {
			t.Errorf("first copy: %+v", got)
		}
		time.Sleep(time.Millisecond)
		next := c.view.Members[0].Host
		if got := c.sendCall(next, "/book", key, time.Second); got.body != "answer to /book" {
			t.Errorf("copy after the hand-over: %+v", got)
		}
	})
}

// TestCrashingRequestIsStopped guards against a request that crashes one upstream
// after the other because its caller retries it through different hosts.
func TestCrashingRequestIsStopped(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		earnRetryBudget(c, "host-0", "host-1", "host-2")
		var crashes atomic.Int64
		c.upstreams.setOverride(func(_ htresource.Upstream, call *Call) (*UpstreamAnswer, error) {
			if call.Meta.URI != "/poison" {
				return nil, nil
			}
			crashes.Add(1)
			return nil, io.ErrUnexpectedEOF
		})
		for i := range 6 {
			c.sendCall(fmt.Sprintf("host-%d", i%3), "/poison", "", time.Second)
			if got := crashes.Load(); i == 0 && got != 1 {
				t.Errorf("%d crashes by one call, want 1", got)
			}
			now := time.Now()
			for _, a := range c.hosts {
				for _, b := range c.hosts {
					b.crashes.Merge(now, a.crashes.Export(now))
				}
			}
		}
		if got := crashes.Load(); got != CrashThreshold {
			t.Errorf("%d crashes, want %d", got, CrashThreshold)
		}
		if got := c.sendCall("host-0", "/healthy", "", time.Second); got.outcome != htcall.Done {
			t.Errorf("another request: %+v", got)
		}
	})
}

// TestHedgeAvoidsSilentConnection guards against a lookup that waits until its
// deadline on an open connection that delivers no data.
func TestHedgeAvoidsSilentConnection(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		earnRetryBudget(c, "host-0")
		var detected sync.Map // names of upstreams whose silent connection has timed out
		c.upstreams.setOverride(func(to htresource.Upstream, _ *Call) (*UpstreamAnswer, error) {
			if _, ok := detected.Load(to.Name); ok || to.Domain != "east" {
				return nil, nil
			}
			// The other idle connections to the upstream are closed along with the silent
			// one, so that later calls succeed.
			time.Sleep(testSilence)
			detected.Store(to.Name, true)
			return nil, ErrSilent
		})
		for i := range 20 {
			start := time.Now()
			got := c.sendCall("host-0", fmt.Sprintf("/lookup/%d", i), "", 3*time.Second)
			if took := time.Since(start); got.outcome != htcall.Done || took >= testSilence {
				t.Errorf("lookup %d: %+v after %v", i, got, took)
			}
		}
		if highest := c.upstreams.highest; highest > 2 {
			t.Errorf("%d in flight on an upstream with 2 slots", highest)
		}
	})
}

// TestRefusedIsTriedElsewhere guards against refusing a call because one upstream
// refused it without starting it and no retry budget was earned yet.
func TestRefusedIsTriedElsewhere(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		for i, key := range []string{"", c.newKey()} {
			overrideOnce(c, refusedAnswer(htdispatch.StateDraining), nil, 0)
			uri := fmt.Sprintf("/try/%d", i)
			if got := c.sendCall("host-0", uri, key, time.Second); got.outcome != htcall.Done || c.upstreams.count(uri) != 1 {
				t.Errorf("%+v after %d runs", got, c.upstreams.count(uri))
			}
		}
	})
}

// TestRetryLoadIsBounded guards against retries and hedges that multiply the load
// on upstreams that answer no request in time.
func TestRetryLoadIsBounded(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		var sends atomic.Int64
		c.upstreams.setOverride(func(htresource.Upstream, *Call) (*UpstreamAnswer, error) {
			sends.Add(1)
			time.Sleep(testSilence)
			return nil, ErrSilent
		})
		const calls = 400
		for i := range calls {
			c.sendCall(fmt.Sprintf("host-%d", i%3), fmt.Sprintf("/lookup/%d", i), "", 3*time.Second)
		}
		// Each host may also spend its retryBurst once.
		if limit := int64(calls + calls/10 + 3*retryBurst); sends.Load() > limit {
			t.Errorf("%d sends for %d calls, want at most %d", sends.Load(), calls, limit)
		}
	})
}

// TestNotRunOnlyIfNothingWasSent guards against not-run answers for requests that
// may have reached an upstream.
func TestNotRunOnlyIfNothingWasSent(t *testing.T) {
	tests := []struct {
		name    string
		reply   *UpstreamAnswer
		err     error
		outcome htcall.Outcome
	}{
		{"connection refused", nil, fmt.Errorf("%w: refused", ErrNotSent), htcall.NotRun},
		{"refused before start", &UpstreamAnswer{Refused: true, Body: io.NopCloser(nil), Report: htdispatch.Report{State: htdispatch.StateWarm}}, nil, htcall.NotRun},
		{"connection closed", nil, io.ErrUnexpectedEOF, htcall.Unknown},
		{"connection silent", nil, ErrSilent, htcall.Unknown},
		{"body truncated", &UpstreamAnswer{Status: 200, Header: http.Header{}, Body: io.NopCloser(&truncatedReader{})}, nil, htcall.Unknown},
		{"short body truncated", &UpstreamAnswer{Status: 200, Header: http.Header{"Content-Length": {"9"}}, Body: io.NopCloser(&truncatedReader{})}, nil, htcall.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				c.upstreams.setOverride(func(htresource.Upstream, *Call) (*UpstreamAnswer, error) { return test.reply, test.err })
				if got := c.sendCall("host-0", "/book", c.newKey(), time.Second); got.outcome != test.outcome {
					t.Errorf("%+v, want %s", got, test.outcome)
				}
			})
		})
	}
}

// truncatedReader returns a few bytes and then an error.
type truncatedReader struct{ read bool }

// Read implements io.Reader.
func (r *truncatedReader) Read(p []byte) (int, error) {
	if r.read {
		return 0, errors.New("connection reset")
	}
	r.read = true
	return copy(p, "part"), nil
}

// TestRefusedRetryIsNotNotRun guards against the outcome not-run for a call whose last
// attempt was refused although an earlier one may have run.
func TestRefusedRetryIsNotNotRun(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration // of the first attempt; a long one causes a hedge
	}{
		{"retry", 0},
		{"hedge", time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				earnRetryBudget(c, "host-0")
				var sends atomic.Int64
				c.upstreams.setOverride(func(to htresource.Upstream, call *Call) (*UpstreamAnswer, error) {
					if sends.Add(1) > 1 {
						return refusedAnswer(htdispatch.StateDraining), nil
					}
					c.upstreams.begin(to, call)
					defer c.upstreams.end(to)
					time.Sleep(test.delay)
					return nil, ErrSilent
				})
				got := c.sendCall("host-0", "/lookup", "", 2*time.Second)
				if got.outcome != htcall.Unknown || sends.Load() < 2 {
					t.Errorf("%+v after %d sends", got, sends.Load())
				}
			})
		})
	}
}

// TestHandOverFreesSlots guards against a new owner that keeps the slots of the
// previous owner's calls occupied until their deadlines although the calls have ended,
// or that treats upstreams as cold that the previous owner knew as warm.
func TestHandOverFreesSlots(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		for range 100 {
			occupySlots(c)
		}
		time.Sleep(3 * time.Second)
		shard := htview.PoolShard("shop", "west")
		owner, _ := c.view.Owner(shard)
		before := c.hosts[owner.Host].shards.Dispatcher(shard).Load()
		go c.sendCall(owner.Host, "/long", "", 30*time.Second)
		go c.sendCall("host-0", "/long", "", 30*time.Second)
		time.Sleep(testWork / 2)
		c.handOver(c.hosts[owner.Host])
		time.Sleep(2 * testWork)
		next, _ := c.view.Owner(shard)
		after := c.hosts[next.Host].shards.Dispatcher(shard).Load()
		if after.InFlight != 0 || after.Capacity != before.Capacity {
			t.Errorf("load %+v after the hand-over, %+v before", after, before)
		}
	})
}
