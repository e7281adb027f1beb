package htdispatch

import "time"

// flight is a slot that is taken.
type flight struct {
	ticket   Ticket
	id       string // of the request
	upstream *upstream
	class    *worktime
	started  time.Time
	deadline time.Time // deadline given to the upstream
	until    time.Time // when a held slot becomes free
	level    int       // requests in flight on the upstream at the start, with this one
	held     bool
	overdue  bool    // the answer was overdue when the request was given up
	silent   bool    // held until the upstream shows that it lives
	checked  bool    // the upstream has shown that it lives since
	prev     *flight // older flight of the upstream that is not held
	next     *flight
	places   [1]int
}

func (f *flight) place(slot int) *int { return &f.places[slot] }

func (f *flight) before(o *flight) bool {
	if !f.until.Equal(o.until) {
		return f.until.Before(o.until)
	}
	return f.ticket < o.ticket
}

// flights finds flights by ticket. A ticket is the index of the flight plus a
// generation, so that a late ticket is not taken for the flight that reuses its
// place.
type flights struct {
	all  []*flight
	free []uint32
}

const generation Ticket = 1 << 32

func (s *flights) add() *flight {
	if n := len(s.free); n > 0 {
		f := s.all[s.free[n-1]]
		s.free = s.free[:n-1]
		*f = flight{ticket: f.ticket + generation}
		return f
	}
	f := &flight{ticket: generation + Ticket(len(s.all))}
	s.all = append(s.all, f)
	return f
}

func (s *flights) get(t Ticket) *flight {
	i := uint32(t)
	if int(i) >= len(s.all) {
		return nil
	}
	f := s.all[i]
	if f.ticket != t || f.upstream == nil {
		return nil
	}
	return f
}

func (s *flights) remove(f *flight) {
	f.upstream = nil
	s.free = append(s.free, uint32(f.ticket))
}
