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
		q.entered(true)
	}
	w.relay.queues["s"] = q
}

// call returns a call that began some time ago and has a second in all.
func (w *world) call(ago time.Duration) *Call {
	now := time.Now()
	return &Call{
		ID: "1", Method: "GET", Host: "h", URI: "/x/", Route: w.route, Arrived: now,
		Deadline: now.Add(time.Second - ago), Given: time.Second - ago,
	}
}

// Guards against an overload in which calls that will be late anyway, and callers who come
// back after a refusal, take upstreams that calls on other hosts need to be on time. Without
// overload they must be served.
func TestLateCallsLeaveUpstreamsToOthersInOverload(t *testing.T) {
	tests := []struct {
		name       string
		overloaded bool
		ago        time.Duration // the caller began to try
		outcome    htcall.Outcome
	}{
		{"new", true, 0, htcall.Done},
		{"comes back", true, 600 * time.Millisecond, htcall.NotRun},
		{"comes back without overload", false, 600 * time.Millisecond, htcall.Done},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(false, after(50, ok))
			w.serve(t.Context())
			w.relay.Serve(t.Context(), w.call(0)) // tells how long callers usually give
			for _, id := range []string{"u0", "u1", "u2"} {
				w.prober.set(id, htselect.Observation{Speed: 100, Slots: 2, Running: 2})
			}
			time.Sleep(time.Second)
			if tt.overloaded {
				w.press()
			}
			answered := make(chan *Answer, 1)
			go func() { answered <- w.relay.Serve(t.Context(), w.call(tt.ago)) }()
			time.Sleep(60 * time.Millisecond)
			for _, id := range []string{"u0", "u1", "u2"} {
				w.prober.set(id, htselect.Observation{Speed: 100, Slots: 2})
			}
			if a := <-answered; a.Outcome != tt.outcome {
				t.Errorf("%s: outcome %s %s, want %s", tt.name, a.Outcome, a.Reason, tt.outcome)
			}
			time.Sleep(time.Second)
		})
	}
}
