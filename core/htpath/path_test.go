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

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		test(t, w)
	})
}

// earnBudget makes calls through hosts until they may retry.
func earnBudget(w *world, hosts ...string) {
	for i := range 40 * len(hosts) {
		w.enter(hosts[i%len(hosts)], fmt.Sprintf("/earn/%d", i), "", time.Second)
	}
}

// TestCopiesRunOnce guards against a second run when a caller sends a keyed
// request again, at the same time or later, through another host.
func TestCopiesRunOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		key := w.newKey()
		var wait sync.WaitGroup
		for i := range 3 {
			wait.Go(func() {
				got := w.enter(fmt.Sprintf("host-%d", i), "/book", key, time.Second)
				if got.outcome != htcall.Done || got.body != "answer to /book" {
					t.Errorf("copy %d: %+v", i, got)
				}
			})
		}
		wait.Wait()
		if got := w.enter("host-1", "/book", key, time.Second); got.body != "answer to /book" {
			t.Errorf("late copy: %+v", got)
		}
		if runs := w.ups.count("/book"); runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

// TestKeyBelongsToOneRequest guards against answering a request with the stored
// answer of another one that used the same key.
func TestKeyBelongsToOneRequest(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		key := w.newKey()
		w.enter("host-0", "/book", key, time.Second)
		got := w.enter("host-1", "/other", key, time.Second)
		if got.outcome != htcall.NotRun || got.reason != htcall.ReasonKeyReused || w.ups.count("/other") != 0 {
			t.Errorf("%+v, %d runs", got, w.ups.count("/other"))
		}
	})
}

// TestHandOverKeepsKeys guards against a planned stop after which the new owner runs
// a key again or no longer knows its answer.
func TestHandOverKeepsKeys(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		key := w.newKey()
		w.enter("host-1", "/book", key, time.Second)
		owner, _ := w.view.Owner(htview.KeyShard("shop", key))
		w.handOver(w.nodes[owner.Host])
		for _, m := range w.view.Members {
			if got := w.enter(m.Host, "/book", key, time.Second); got.body != "answer to /book" {
				t.Errorf("through %s: %+v", m.Host, got)
			}
		}
		if runs := w.ups.count("/book"); runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

// TestHandOverReportsEnd guards against a key that stays unknown although the old
// owner learned its end after the hand-over.
func TestHandOverReportsEnd(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		key := w.newKey()
		owner, _ := w.view.Owner(htview.KeyShard("shop", key))
		first := make(chan told)
		go func() { first <- w.enter(owner.Host, "/book", key, time.Second) }()
		time.Sleep(testWork / 2)
		w.handOver(w.nodes[owner.Host])
		if got := <-first; got.outcome != htcall.Done {
			t.Errorf("first copy: %+v", got)
		}
		time.Sleep(time.Millisecond)
		next := w.view.Members[0].Host
		if got := w.enter(next, "/book", key, time.Second); got.body != "answer to /book" {
			t.Errorf("copy after the hand-over: %+v", got)
		}
	})
}

// TestCrashingRequestIsStopped guards against a request that crashes one upstream
// after the other while its caller sends it again through any host.
func TestCrashingRequestIsStopped(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		earnBudget(w, "host-0", "host-1", "host-2")
		var crashes atomic.Int64
		w.ups.setBehave(func(_ htresource.Upstream, call *Call) (*UpstreamAnswer, error) {
			if call.Meta.URI != "/poison" {
				return nil, nil
			}
			crashes.Add(1)
			return nil, io.ErrUnexpectedEOF
		})
		for i := range 6 {
			w.enter(fmt.Sprintf("host-%d", i%3), "/poison", "", time.Second)
			if got := crashes.Load(); i == 0 && got != 1 {
				t.Errorf("%d crashes by one call, want 1", got)
			}
			now := time.Now()
			for _, a := range w.nodes {
				for _, b := range w.nodes {
					b.crashes.Merge(now, a.crashes.Export(now))
				}
			}
		}
		if got := crashes.Load(); got != CrashThreshold {
			t.Errorf("%d crashes, want %d", got, CrashThreshold)
		}
		if got := w.enter("host-0", "/healthy", "", time.Second); got.outcome != htcall.Done {
			t.Errorf("another request: %+v", got)
		}
	})
}

// TestHedgeAvoidsSilentConnection guards against a lookup that waits for its
// deadline on a connection that has gone silent.
func TestHedgeAvoidsSilentConnection(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		earnBudget(w, "host-0")
		var found sync.Map // upstreams whose silent connection was found
		w.ups.setBehave(func(to htresource.Upstream, _ *Call) (*UpstreamAnswer, error) {
			if _, ok := found.Load(to.Name); ok || to.Domain != "east" {
				return nil, nil
			}
			// The other idle connections are closed with the silent one.
			time.Sleep(testSilence)
			found.Store(to.Name, true)
			return nil, ErrSilent
		})
		for i := range 20 {
			start := time.Now()
			got := w.enter("host-0", fmt.Sprintf("/lookup/%d", i), "", 3*time.Second)
			if took := time.Since(start); got.outcome != htcall.Done || took >= testSilence {
				t.Errorf("lookup %d: %+v after %v", i, got, took)
			}
		}
		if highest := w.ups.highest; highest > 2 {
			t.Errorf("%d in flight on an upstream of 2 slots", highest)
		}
	})
}

// TestRefusedIsTriedElsewhere guards against refusing a caller because one upstream
// refused the request unstarted, before any retry budget was earned.
func TestRefusedIsTriedElsewhere(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for i, key := range []string{"", w.newKey()} {
			behaveOnce(w, refusedReply(htdispatch.StateDraining), nil, 0)
			uri := fmt.Sprintf("/try/%d", i)
			if got := w.enter("host-0", uri, key, time.Second); got.outcome != htcall.Done || w.ups.count(uri) != 1 {
				t.Errorf("%+v after %d runs", got, w.ups.count(uri))
			}
		}
	})
}

// TestRetryLoadIsBounded guards against retries and hedges that multiply the load
// of upstreams that answer nothing in time.
func TestRetryLoadIsBounded(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		var sends atomic.Int64
		w.ups.setBehave(func(htresource.Upstream, *Call) (*UpstreamAnswer, error) {
			sends.Add(1)
			time.Sleep(testSilence)
			return nil, ErrSilent
		})
		const calls = 400
		for i := range calls {
			w.enter(fmt.Sprintf("host-%d", i%3), fmt.Sprintf("/lookup/%d", i), "", 3*time.Second)
		}
		// Each host may also spend its burst once.
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
		{"refused unstarted", &UpstreamAnswer{Refused: true, Body: io.NopCloser(nil), Report: htdispatch.Report{State: htdispatch.StateWarm}}, nil, htcall.NotRun},
		{"connection broken", nil, io.ErrUnexpectedEOF, htcall.Unknown},
		{"connection silent", nil, ErrSilent, htcall.Unknown},
		{"body cut", &UpstreamAnswer{Status: 200, Header: http.Header{}, Body: io.NopCloser(&cutReader{})}, nil, htcall.Unknown},
		{"short body cut", &UpstreamAnswer{Status: 200, Header: http.Header{"Content-Length": {"9"}}, Body: io.NopCloser(&cutReader{})}, nil, htcall.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.ups.setBehave(func(htresource.Upstream, *Call) (*UpstreamAnswer, error) { return test.reply, test.err })
				if got := w.enter("host-0", "/book", w.newKey(), time.Second); got.outcome != test.outcome {
					t.Errorf("%+v, want %s", got, test.outcome)
				}
			})
		})
	}
}

// cutReader fails after a few bytes.
type cutReader struct{ read bool }

// Read implements io.Reader.
func (r *cutReader) Read(p []byte) (int, error) {
	if r.read {
		return 0, errors.New("connection reset")
	}
	r.read = true
	return copy(p, "part"), nil
}

// TestRefusedRetryIsNotNotRun guards against telling not-run because the last of
// several tries was refused, although an earlier one may have run.
func TestRefusedRetryIsNotNotRun(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration // of the first try; a long one is hedged
	}{
		{"retry", 0},
		{"hedge", time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				earnBudget(w, "host-0")
				var sends atomic.Int64
				w.ups.setBehave(func(to htresource.Upstream, call *Call) (*UpstreamAnswer, error) {
					if sends.Add(1) > 1 {
						return refusedReply(htdispatch.StateDraining), nil
					}
					w.ups.begin(to, call)
					defer w.ups.end(to)
					time.Sleep(test.delay)
					return nil, ErrSilent
				})
				got := w.enter("host-0", "/lookup", "", 2*time.Second)
				if got.outcome != htcall.Unknown || sends.Load() < 2 {
					t.Errorf("%+v after %d sends", got, sends.Load())
				}
			})
		})
	}
}

// TestHandOverFreesSlots guards against a new owner that keeps the slots of its
// predecessor's calls taken until their deadlines, although they have ended, or
// that starts upstreams cold that the predecessor knew as warm.
func TestHandOverFreesSlots(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for range 100 {
			occupySlots(w)
		}
		time.Sleep(3 * time.Second)
		shard := htview.PoolShard("shop", "west")
		owner, _ := w.view.Owner(shard)
		before := w.nodes[owner.Host].shards.Dispatcher(shard).Load()
		go w.enter(owner.Host, "/long", "", 30*time.Second)
		go w.enter("host-0", "/long", "", 30*time.Second)
		time.Sleep(testWork / 2)
		w.handOver(w.nodes[owner.Host])
		time.Sleep(2 * testWork)
		next, _ := w.view.Owner(shard)
		after := w.nodes[next.Host].shards.Dispatcher(shard).Load()
		if after.InFlight != 0 || after.Capacity != before.Capacity {
			t.Errorf("load %+v after the hand-over, %+v before", after, before)
		}
	})
}
