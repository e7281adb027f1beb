package htdispatch

import (
	"strings"
	"testing"
	"time"

	"hawthornturn/core/htcall"
)

// Guards against a caller with many requests that delays the requests of others, or fills
// the queue so that they are refused.
func TestNoisyCaller(t *testing.T) {
	s := newHarness(t, Config{QueueLimit: 30}, upstreams(1, 1)...)
	running := s.offer("noisy")
	for range 100 {
		s.offer("noisy")
	}
	quiet := s.offer("quiet")
	s.check("queued", s.p.Load(s.now).Queued, 30)
	s.check("quiet refused", s.refused[quiet], htcall.ReasonNone)
	s.check("shedding", s.p.Load(s.now).Shedding, true)
	before := 0
	for ; running != quiet; before++ {
		s.finish(running, Completed{Work: ms})
		s.offer("noisy")
		for id := range s.running {
			running = id
		}
	}
	if before > minBurst+1 {
		t.Fatalf("%d requests of the noisy caller went first", before)
	}
}

// Guards against a service with many callers that gets more than its fair share of a
// service with one caller.
func TestFairBetweenServices(t *testing.T) {
	q := newQueue()
	q.setBurst(2)
	push := func(service, caller string) {
		q.push(&queuedRequest{request: Request{ID: service + caller, Service: service, Caller: caller}})
	}
	for i := range 40 {
		push("big", strings.Repeat("c", i))
	}
	for range 4 {
		push("small", "c")
	}
	last := 0
	for i := 1; q.len() > 0; i++ {
		e, _ := q.next()
		if e.request.Service == "small" {
			last = i
		}
		q.dequeue(e)
	}
	if last > 12 {
		t.Fatalf("the fourth request of the small service was number %d", last)
	}
}

// Guards against serving the requests of a caller in the order of arrival, by which the
// request with the least time left expires.
func TestEarliestDeadlineFirst(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 1)...)
	running := s.offer("a")
	for i, left := range []time.Duration{9, 3, 6} {
		id := []string{"late", "soon", "mid"}[i]
		s.apply(s.p.Offer(s.now, Request{ID: id, Service: "s", Caller: "a", Deadline: s.now.Add(left * time.Second)}))
	}
	for _, want := range []string{"soon", "mid", "late"} {
		s.finish(running, Completed{Work: ms})
		s.check("running", s.running[want].Request.ID, want)
		running = want
	}
}

// Guards against queueing requests that cannot finish in time, and against refusing
// requests that can.
func TestRefusesEarlyWhatCannotFinish(t *testing.T) {
	tests := []struct {
		name   string
		queued int
		left   time.Duration
		reason htcall.Reason
	}{
		{"enough time", 1, 100 * ms, htcall.ReasonNone},
		{"long queue", 12, 50 * ms, htcall.ReasonDeadline},
		{"long queue, more time", 12, 100 * ms, htcall.ReasonNone},
		{"hardly any time", 0, 3 * ms, htcall.ReasonDeadline},
		{"hardly any time, idle", -2, 3 * ms, htcall.ReasonDeadline},
		{"little time, idle", -2, 8 * ms, htcall.ReasonNone},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			s := newHarness(t, Config{}, upstreams(1, 2)...)
			s.warmUp()
			for range v.queued + 2 {
				s.offer("a")
			}
			s.apply(s.p.Offer(s.now, Request{ID: "x", Service: "s", Caller: "b", Deadline: s.now.Add(v.left)}))
			s.check("reason", s.refused["x"], v.reason)
		})
	}
}

// Guards against a queued request that is started, or never refused, after its deadline
// has passed.
func TestDeadlinePassesInQueue(t *testing.T) {
	s := newHarness(t, Config{}, upstreams(1, 1)...)
	s.offer("a")
	s.apply(s.p.Offer(s.now, Request{ID: "x", Service: "s", Caller: "a", Deadline: s.now.Add(50 * ms)}))
	s.advance(49 * ms)
	s.check("before the deadline", s.refused["x"], htcall.ReasonNone)
	s.advance(ms)
	s.check("at the deadline", s.refused["x"], htcall.ReasonDeadline)
	s.check("shedding", s.p.Load(s.now).Shedding, true)
	s.advance(time.Second)
	s.check("shedding later", s.p.Load(s.now).Shedding, false)
}
