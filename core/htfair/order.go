package htfair

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a call that waits.
type Waiter struct {
	Group  Group
	Cost   time.Duration // usual work time
	OnTime bool          // its answer can still be on time
}

// place is the place of a waiter in the order.
type place struct {
	index   int // of the waiter
	starved bool
	class   int
	use     float64 // of its group before the call, if all earlier calls of the group are sent
}

// compare orders places.
func (p place) compare(o place) int {
	switch {
	case p.starved != o.starved:
		return compareBool(o.starved, p.starved)
	case p.class != o.class:
		return cmp.Compare(p.class, o.class)
	case p.use != o.use:
		return cmp.Compare(p.use, o.use)
	}
	return cmp.Compare(p.index, o.index)
}

// nextPlace is what decides on the place of the next call of a group.
type nextPlace struct {
	starved bool
	use     float64
	usual   float64 // seconds of work by which the use grows by one
}

// Order returns the indexes of the waiters, which are in order of arrival, in the order in which
// they get room: calls of starved groups, one of each; then by class, and within a class so that
// all groups get the same multiple of their usual load. Within a group, calls that can be on time
// go first.
func (s *Shares) Order(now time.Time, waiters []Waiter) []int {
	groups := map[Group]*nextPlace{}
	places := make([]place, 0, len(waiters))
	for _, onTime := range []bool{true, false} {
		for i, w := range waiters {
			if w.OnTime != onTime {
				continue
			}
			next := groups[w.Group]
			if next == nil {
				next = s.nextPlace(now, w.Group)
				groups[w.Group] = next
			}
			places = append(places, place{index: i, starved: next.starved, class: w.Group.Class, use: next.use})
			next.starved = false
			next.use += w.Cost.Seconds() / next.usual
		}
	}
	slices.SortFunc(places, place.compare)
	order := make([]int, len(places))
	for i, p := range places {
		order[i] = p.index
	}
	return order
}

func (s *Shares) nextPlace(now time.Time, of Group) *nextPlace {
	g, recent := s.known(of), weightOf(s.started, now, useDecay)
	usual := s.usualRate(now, g)
	return &nextPlace{starved: s.starved(now, g), use: g.use.sum(now, useDecay) / recent / usual, usual: usual * recent}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
