package htlab

import (
	"math/rand/v2"
	"time"
)

// CallKind tells which HTTP method a call uses and whether it has a key.
type CallKind string

// The kinds of calls.
const (
	Lookup  CallKind = "lookup"  // GET, idempotent
	Booking CallKind = "booking" // POST with an idempotency key
)

// arrival is one call of the schedule.
type arrival struct {
	index     int
	at        time.Duration // intended send time since the start of the load
	kind      CallKind
	caller    int
	sendTwice bool          // sent a second time through another host
	gap       time.Duration // time between the two copies
}

// schedule generates the arrivals of a load, independent of the responses.
type schedule struct {
	settings LoadSettings
	random   *rand.Rand
	last     arrival
}

func newSchedule(s LoadSettings) *schedule {
	return &schedule{settings: s, random: rand.New(rand.NewPCG(s.Seed, 0)), last: arrival{index: -1}}
}

// next returns the next arrival, or false after the duration of the load. The times
// between arrivals are exponentially distributed.
func (s *schedule) next() (arrival, bool) {
	gap := s.random.ExpFloat64() / s.settings.Rate
	a := arrival{
		index:  s.last.index + 1,
		at:     s.last.at + time.Duration(gap*float64(time.Second)),
		kind:   Lookup,
		caller: s.random.IntN(s.settings.Callers),
	}
	if s.random.IntN(s.settings.Lookups+s.settings.Bookings) >= s.settings.Lookups {
		a.kind = Booking
		a.sendTwice = s.random.Float64() < s.settings.DuplicateShare
		a.gap = time.Duration(s.random.Float64() * float64(s.settings.MaxDuplicateGap))
	}
	s.last = a
	return a, a.at < s.settings.Duration
}
