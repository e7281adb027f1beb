package htmodel

import (
	"container/heap"
	"time"
)

// event is a function to call at a point in virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap orders events by time, and events of the same time by creation, so
// that a run does not depend on the internal order of the heap.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// engine runs events in the order of virtual time, which starts at zero.
type engine struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// at schedules run for the time t, or for the current time if t is in the past.
func (e *engine) at(t time.Duration, run func()) {
	e.seq++
	heap.Push(&e.events, event{at: max(t, e.now), seq: e.seq, run: run})
}

// after schedules run for d after the current time.
func (e *engine) after(d time.Duration, run func()) {
	e.at(e.now+d, run)
}

// runUntil runs all events up to and including end.
func (e *engine) runUntil(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}
