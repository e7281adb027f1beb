package hthedge

import "time"

// maxPressure is the share of recent calls to a service that had to wait above which the
// service is short of room.
const maxPressure = 0.1

// Refusal is the reason why a late call gets no second send; None means that it gets one.
type Refusal string

// Refusals.
const (
	None       Refusal = ""
	NoRoom     Refusal = "short-of-room"
	NoUpstream Refusal = "no-upstream"
	WorkSpent  Refusal = "hedge-work-spent"
)

// Room is what a host knows of the free capacity of a service.
type Room struct {
	Waiting  int     // calls that wait on this host
	Pressure float64 // share of the recent calls that had to wait
}

// Short reports whether a second send may take the place of a call that has none.
func (r Room) Short() bool { return r.Waiting > 0 || r.Pressure > maxPressure }

// Upstream is the state of the best other upstream.
type Upstream struct {
	Good      bool // known by a fresh report to be fast and not busy
	Cold      bool
	Faulty    bool
	Unhealthy bool
}

// Suitable reports whether the upstream may get a second send.
func (u Upstream) Suitable() bool { return u.Good && !u.Cold && !u.Faulty && !u.Unhealthy }

// Check returns why a hedge of an expected cost is refused whatever the other upstreams, or
// None. It is cheap, so that upstreams are probed for a hedge only if there may be one.
func (b *Budget) Check(room Room, cost time.Duration) Refusal {
	switch {
	case room.Short():
		return NoRoom
	case !b.Covers(cost):
		return WorkSpent
	}
	return None
}

// Decide returns why a late call gets no second send at an upstream, or None. It takes
// nothing from the budget.
func (b *Budget) Decide(room Room, other Upstream, cost time.Duration) Refusal {
	if !other.Suitable() {
		return NoUpstream
	}
	return b.Check(room, cost)
}
