package htdispatch

import "time"

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request       Request
	workTime      *workTimeEstimate
	expires       time.Time // when the request can no longer finish before its deadline
	seq           uint64
	flow          *flow
	heapPositions [2]int
}

// IDs of the heaps that contain a queued request.
const (
	deadlineHeap = iota
	expiryHeap
)

func (e *queuedRequest) heapPosition(heapID int) *int { return &e.heapPositions[heapID] }

// before orders the requests of a flow by deadline.
func (e *queuedRequest) before(o *queuedRequest) bool {
	if !e.request.Deadline.Equal(o.request.Deadline) {
		return e.request.Deadline.Before(o.request.Deadline)
	}
	return e.seq < o.seq
}

// requestByExpiry orders requests by the time at which they expire.
type requestByExpiry struct{ *queuedRequest }

func (e requestByExpiry) before(o requestByExpiry) bool {
	if !e.expires.Equal(o.expires) {
		return e.expires.Before(o.expires)
	}
	return e.seq < o.seq
}

// queue is the request queue of a shard; Pool.enqueue bounds its length. It is fair
// between services, then between the callers of a service, and serves the requests of a
// caller by earliest deadline first.
type queue struct {
	root   *fairGroup
	expiry heap[requestByExpiry]
	byID   map[string]*queuedRequest
	seq    uint64
	burst  int
}

func newQueue() *queue {
	return &queue{
		root:   newFairGroup(),
		expiry: heap[requestByExpiry]{id: expiryHeap},
		byID:   map[string]*queuedRequest{},
	}
}

// setBurst sets how many queued requests of each caller, and of each service, get a turn
// in the order of arrival. At each turn of a caller, its request with the earliest
// deadline is served.
func (q *queue) setBurst(n int) {
	q.root.burst = n
	q.burst = n
}

func (q *queue) len() int { return q.root.count }

func (q *queue) push(e *queuedRequest) {
	q.seq++
	e.seq = q.seq
	service := q.root.flow(e.request.Service)
	if service.callers == nil {
		service.callers = newFairGroup()
	}
	service.callers.burst = q.burst
	e.flow = service.callers.flow(e.request.Caller)
	e.flow.parent = service
	e.flow.requests.set(e)
	service.callers.add(e.flow, q.seq)
	q.root.add(service, q.seq)
	q.expiry.set(requestByExpiry{e})
	q.byID[e.request.ID] = e
}

// remove removes e, which is not served.
func (q *queue) remove(e *queuedRequest) {
	service := e.flow.parent
	e.flow.requests.remove(e)
	service.callers.markDropped(e.flow)
	q.root.markDropped(service)
	q.removeIndexes(e)
}

// dequeue removes e, which next returned, to be started.
func (q *queue) dequeue(e *queuedRequest) {
	q.seq++
	service := e.flow.parent
	e.flow.requests.remove(e)
	service.callers.markServed(e.flow, q.seq)
	q.root.markServed(service, q.seq)
	q.removeIndexes(e)
}

func (q *queue) removeIndexes(e *queuedRequest) {
	q.expiry.remove(requestByExpiry{e})
	if q.byID[e.request.ID] == e {
		delete(q.byID, e.request.ID)
	}
}

// next returns the request to serve next without removing it. It returns false if the
// queue is empty.
func (q *queue) next() (*queuedRequest, bool) {
	service, ok := q.root.turns.peek()
	if !ok {
		return nil, false
	}
	return service.head(), true
}

// ahead estimates how many queued requests would be served before r.
func (q *queue) ahead(r Request) int {
	service := q.root.flows[r.Service]
	if service == nil {
		return q.root.ahead(0)
	}
	caller := service.callers.flows[r.Caller]
	sameCaller := caller.len()
	if sameCaller > 0 && r.Deadline.Before(caller.head().request.Deadline) {
		sameCaller = 0
	}
	return q.root.ahead(service.callers.ahead(sameCaller))
}

// evictionCandidate returns the queued request to evict in favour of r when the queue is
// full: one with a late deadline from the caller with the most requests of the service
// with the most requests. It returns false if, counting r, that caller is the caller of r.
func (q *queue) evictionCandidate(r Request) (*queuedRequest, bool) {
	longest, ok := q.root.longest.peek()
	if !ok {
		return nil, false
	}
	service := longest.flow
	sameService := q.root.flows[r.Service]
	if sameService.len()+1 >= service.count {
		if sameService.len() == 0 {
			return nil, false
		}
		service = sameService
	}
	caller, _ := service.callers.longest.peek()
	if service == sameService && sameService.callers.flows[r.Caller].len()+1 >= caller.count {
		return nil, false
	}
	waiting := caller.requests.items
	last := waiting[0]
	for _, e := range waiting[len(waiting)/2:] {
		if last.before(e) {
			last = e
		}
	}
	return last, true
}
