package htdispatch

import "time"

// inFlightRequest is a request that occupies a slot of an upstream.
type inFlightRequest struct {
	ticket           Ticket
	requestID        string
	upstream         *upstream
	workTime         *workTimeEstimate
	started          time.Time
	deadline         time.Time // deadline sent to the upstream, or the end of Config.CancelGrace if earlier
	heldUntil        time.Time // when a held slot is due for release
	inFlightAtStart  int       // requests in flight on the upstream at the start, including this one
	held             bool
	overdue          bool             // its elapsed time at Finish, with any result, exceeded the 99th percentile of the work time of its class
	awaitingResponse bool             // the slot stays occupied until the upstream responds again
	responseSeen     bool             // the upstream has responded since awaitingResponse was set
	prev             *inFlightRequest // next older request of the upstream whose slot is not held
	next             *inFlightRequest
	heapPositions    [1]int
}

func (f *inFlightRequest) heapPosition(heapID int) *int { return &f.heapPositions[heapID] }

func (f *inFlightRequest) before(o *inFlightRequest) bool {
	if !f.heldUntil.Equal(o.heldUntil) {
		return f.heldUntil.Before(o.heldUntil)
	}
	return f.ticket < o.ticket
}

// inFlightTable maps tickets to requests. A ticket combines the index of the request
// with a generation number, so that a stale ticket does not match a later request that
// reuses the index.
type inFlightTable struct {
	requests    []*inFlightRequest
	freeIndexes []uint32
}

// ticketGeneration is the increment of the generation number, which is stored above the
// 32 bits of the index.
const ticketGeneration Ticket = 1 << 32

// add returns an empty request with a new ticket.
func (s *inFlightTable) add() *inFlightRequest {
	if n := len(s.freeIndexes); n > 0 {
		f := s.requests[s.freeIndexes[n-1]]
		s.freeIndexes = s.freeIndexes[:n-1]
		*f = inFlightRequest{ticket: f.ticket + ticketGeneration}
		return f
	}
	f := &inFlightRequest{ticket: ticketGeneration + Ticket(len(s.requests))}
	s.requests = append(s.requests, f)
	return f
}

// get returns the request of a ticket, or nil if it is no longer in flight.
func (s *inFlightTable) get(t Ticket) *inFlightRequest {
	i := uint32(t)
	if int(i) >= len(s.requests) {
		return nil
	}
	f := s.requests[i]
	if f.ticket != t || f.upstream == nil {
		return nil
	}
	return f
}

func (s *inFlightTable) remove(f *inFlightRequest) {
	f.upstream = nil
	s.freeIndexes = append(s.freeIndexes, uint32(f.ticket))
}
