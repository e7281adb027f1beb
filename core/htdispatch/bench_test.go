package htdispatch

import (
	"fmt"
	"testing"
	"time"

	"hawthornturn/core/htresource"
)

// BenchmarkDecision measures one Offer and the matching Finish in a pool in which half
// of the upstreams are busy.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 19000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			now := time.Unix(0, 0)
			p := New(Config{QueueLimit: htresource.MaxQueueLimit}, now)
			p.SetUpstreams(now, upstreams(n, 2), false)
			var running []Start
			offer := func() {
				r := Request{ID: "id", Service: "s", Caller: "c", Deadline: now.Add(time.Hour)}
				running = collect(running, p.Offer(now, r))
			}
			for range n / 2 {
				offer()
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond / time.Duration(n))
				at := i % len(running)
				s := running[at]
				running[at] = running[len(running)-1]
				running = running[:len(running)-1]
				running = collect(running, p.Finish(now, s.Ticket, Completed{Work: 5 * time.Millisecond}))
				offer()
			}
		})
	}
}

// BenchmarkQueued measures the same when every request is queued first.
func BenchmarkQueued(b *testing.B) {
	now := time.Unix(0, 0)
	p := New(Config{}, now)
	p.SetUpstreams(now, upstreams(3, 2), false)
	var running []Start
	ids := make([]string, 64)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		for p.Load(now).Queued < 32 {
			i++
			r := Request{ID: ids[i%64], Service: ids[i%3], Caller: ids[i%7], Deadline: now.Add(time.Hour)}
			running = collect(running, p.Offer(now, r))
		}
		s := running[0]
		running = collect(running[1:], p.Finish(now, s.Ticket, Completed{Work: 5 * time.Millisecond}))
	}
}

// collect appends the Starts among the actions to running.
func collect(running []Start, actions []Action) []Start {
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			running = append(running, s)
		}
	}
	return running
}

// upstreams returns n upstreams named u0, u1 and so on.
func upstreams(n, slots int) []htresource.Upstream {
	all := make([]htresource.Upstream, n)
	for i := range all {
		name := fmt.Sprintf("u%d", i)
		all[i] = htresource.Upstream{Name: name, Address: fmt.Sprintf("127.0.0.1:%d", i), Slots: slots}
	}
	return all
}
