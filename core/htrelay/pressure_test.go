package htrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htselect"
)

// press makes most of the recent calls to the service have waited.
func (w *world) press() {
	w.relay.mu.Lock()
	defer w.relay.mu.Unlock()
	q := &queue{}
	for range 20 {
		q.pressure.entered(time.Now(), true)
	}
	w.relay.queues["s"] = q
}

// call returns a call that began some time ago and has a second in all.
func (w *world) call(ago time.Duration) *Call {
	now := time.Now()
	return &Call{
		ID: "1", Method: "GET", Host: "h", URI: "/x/", Route: w.route, Arrived: now,
		Deadline: now.Add(time.Second - ago), CallerTimeout: time.Second - ago,
	}
}

// Guards against an overload in which calls that will be late anyway, and callers who come
// back after a refusal, take upstreams that calls on other hosts need to be on time. Without
// overload they must be served at once, and nobody may be refused while upstreams are free.
func TestLateCallsLeaveUpstreamsToOthersInOverload(t *testing.T) {
	const full = 60 * time.Millisecond // until upstreams come free
	tests := []struct {
		name       string
		overloaded bool
		ago        time.Duration // the caller began to try
		least      time.Duration // wait
		most       time.Duration
	}{
		{"new", true, 0, 0, full + 2*lookPeriod},
		{"comes back", true, 600 * time.Millisecond, 240 * time.Millisecond, 240*time.Millisecond + 2*lookPeriod},
		{"comes back without overload", false, 600 * time.Millisecond, 0, full + pollPeriod + 2*lookPeriod},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(false, after(50, ok))
			w.serve(t.Context())
			w.relay.Serve(t.Context(), w.call(0)) // tells how long callers usually give
			for _, id := range []string{"u0", "u1", "u2"} {
				w.prober.set(id, htselect.Observation{WorkTimePercent: 100, Slots: 2, Running: 2})
			}
			time.Sleep(time.Second)
			if tt.overloaded {
				w.press()
			}
			answered := make(chan *Answer, 1)
			go func() { answered <- w.relay.Serve(t.Context(), w.call(tt.ago)) }()
			time.Sleep(full)
			for _, id := range []string{"u0", "u1", "u2"} {
				w.prober.set(id, htselect.Observation{WorkTimePercent: 100, Slots: 2})
			}
			a := <-answered
			if waited := a.Trace.Waited; a.Outcome != htcall.Done || waited < tt.least || waited > tt.most {
				t.Errorf("%s: %s %s after a wait of %v, want %v to %v", tt.name, a.Outcome, a.Reason, waited, tt.least, tt.most)
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against callers who are held back because of an overload that is over, although
// few calls came since.
func TestPressureIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var p pressure
	for range 20 {
		p.entered(now, true)
	}
	if !p.overloaded(now) {
		t.Error("twenty calls that wait are no overload")
	}
	if now = now.Add(5 * pressureMemory); p.overloaded(now) {
		t.Errorf("the overload is not over after %v without a call", 5*pressureMemory)
	}
}

// Guards against calls that can be on time and wait behind others that can't, or are refused
// because of them: the others are served after all that can.
func TestLateCallsAreNotAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(false, after(50, ok))
		w.relay.Serve(t.Context(), w.call(0)) // tells how long callers usually give
		w.press()
		var q *queue
		w.relay.mu.Lock()
		q = w.relay.queues["s"]
		for range maxWaiting / 2 {
			late := w.call(600 * time.Millisecond)
			late.FirstAttempt = late.Arrived.Add(-600 * time.Millisecond)
			q.add(&waiter{run: newRun(w.relay, late, "s"), since: time.Now()})
		}
		ahead := w.relay.ahead(time.Now(), q, 0)
		w.relay.mu.Unlock()
		begun := time.Now()
		a := w.relay.Serve(t.Context(), w.call(0))
		if took := time.Since(begun); a.Outcome != htcall.Done || took > 70*time.Millisecond || ahead != 0 {
			t.Errorf("%d calls count as ahead; a call that can be on time: %s %s after %v", ahead, a.Outcome, a.Reason, took)
		}
		time.Sleep(time.Second)
	})
}

// Guards against upstreams that are half idle in overload: calls that can be on time although
// they share an upstream do not wait for one of their own then.
func TestCallsCrowdAtOnceInOverload(t *testing.T) {
	tests := []struct {
		name       string
		overloaded bool
		longest    time.Duration // of the wait
	}{
		{"overload", true, lookPeriod},
		{"usual", false, 200 * time.Millisecond / 3},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(false, after(50, ok))
			for _, id := range []string{"u0", "u1", "u2"} {
				w.prober.set(id, htselect.Observation{WorkTimePercent: 100, Slots: 2, Running: 1})
			}
			if tt.overloaded {
				w.press()
			}
			a := w.relay.Serve(t.Context(), w.call(0))
			if a.Outcome != htcall.Done || a.Trace.Waited > tt.longest {
				t.Errorf("%s: %s after a wait of %v, want at most %v", tt.name, a.Outcome, a.Trace.Waited, tt.longest)
			}
			if !tt.overloaded && a.Trace.Waited < lookPeriod {
				t.Errorf("%s: the call waited %v only, although an upstream of its own might come free", tt.name, a.Trace.Waited)
			}
			time.Sleep(time.Second)
		})
	}
}
