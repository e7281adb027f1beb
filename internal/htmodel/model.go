package htmodel

import (
	"math/rand/v2"
	"time"
)

// warmUp is the initial part of a run that is left out of the latency figures and the
// goodput, because the production dispatcher starts every upstream with a limit of 1.
const warmUp = 5 * time.Second

// policy handles requests after they reach an entry host.
type policy interface {
	// arrive is called when the request reaches the entry host r.host.
	arrive(r *request)
	// domainChanged is called when all hosts know that a failure domain was taken
	// out of service or returned.
	domainChanged(domain int, out bool)
	// hostChanged is called when an entry host is killed or restarted.
	hostChanged(host int, lost bool)
}

// request is an arrival that is being processed.
type request struct {
	arrival
	id       int
	ended    bool
	deadline time.Duration
	sends    int
	answered bool       // the entry host has an answer
	attempts []*attempt // including those still on their way to an upstream
}

// model is the state of one run: upstreams, network and the record of results.
type model struct {
	engine
	workload        Workload
	upstreams       []*upstream
	domainOut       []bool // by failure domain: out of service
	domainChangedAt []time.Duration
	hostLost        []bool     // by entry host: killed and not yet restarted
	pending         []*request // requests whose deadline has not passed, oldest first
	policy          policy
	rng             *rand.Rand // used only by the policy
	record          record
	idleSince       [][][]time.Duration // by sender and upstream: when each idle connection became idle
	coldReported    []bool              // by upstream: an answer that reports the current cold state has reached a sender
	duration        time.Duration
	entryLatency    time.Duration     // one way, caller to entry host
	spareReadyAt    [][]time.Duration // by sender and upstream: when the spare connection is open; nil without spare connections
	onFault         func()            // called after each fault, if set
}

// newModel returns a model without a policy.
func newModel(w Workload, duration time.Duration, seed uint64) *model {
	m := &model{
		workload:        w,
		domainOut:       make([]bool, w.Domains),
		domainChangedAt: make([]time.Duration, w.Domains),
		hostLost:        make([]bool, w.Hosts),
		rng:             newRand(seed, streamPolicy),
		record:          newRecord(w),
		idleSince:       make([][][]time.Duration, w.Hosts),
		coldReported:    make([]bool, w.Upstreams),
		duration:        duration,
		entryLatency:    callerLatency,
	}
	for h := range m.idleSince {
		m.idleSince[h] = make([][]time.Duration, w.Upstreams)
	}
	for i := range w.Upstreams {
		u := &upstream{condition: newCondition(w.Slots), index: i, domain: w.domainOf(i), engine: &m.engine, onEnded: m.attemptEnded}
		m.upstreams = append(m.upstreams, u)
	}
	return m
}

// run processes the input and continues until all requests have finished.
func (m *model) run(in runInput) {
	for _, f := range in.faults {
		m.at(f.at, func() { m.injectFault(f.fault) })
	}
	m.scheduleArrivals(in.arrivals, 0)
	m.runUntil(m.duration + 2*timeout)
}

// scheduleArrivals schedules one arrival at a time to keep the event heap small.
func (m *model) scheduleArrivals(arrivals []arrival, i int) {
	if i == len(arrivals) {
		return
	}
	m.at(arrivals[i].at, func() {
		m.arrive(arrivals[i], i)
		m.scheduleArrivals(arrivals, i+1)
	})
}

// arrive sends a request from its caller to an entry host. The balancer in front of the
// entry hosts skips hosts that are down or in a failure domain that is out of service.
func (m *model) arrive(a arrival, id int) {
	r := &request{arrival: a, id: id, deadline: a.at + timeout}
	for range m.workload.Hosts {
		if !m.hostLost[r.host] && !m.domainOut[m.workload.domainOf(r.host)] {
			break
		}
		r.host = (r.host + 1) % m.workload.Hosts
	}
	m.record.arrivals++
	m.after(m.entryLatency, func() { m.policy.arrive(r) })
	m.pending = append(m.pending, r)
	if len(m.pending) == 1 {
		m.scheduleDeadline()
	}
}

// scheduleDeadline schedules the deadline of the oldest request. Deadlines pass in
// order of arrival, and scheduling one at a time keeps the event heap small.
func (m *model) scheduleDeadline() {
	m.at(m.pending[0].deadline, func() {
		r := m.pending[0]
		m.pending = m.pending[1:]
		m.finish(r, late)
		for _, a := range r.attempts {
			if a.upstream.remove(a) {
				a.upstream.onEnded(a, true)
			}
		}
		if len(m.pending) > 0 {
			m.scheduleDeadline()
		}
	})
}

func (m *model) injectFault(f fault) {
	switch v := f.(type) {
	case speedFault:
		u := m.upstreams[v.upstream]
		u.update(func() { u.shiftFactor = v.speed })
	case noiseFault:
		u := m.upstreams[v.upstream]
		u.update(func() { u.noiseFactor = v.speed })
	case coldFault:
		u := m.upstreams[v.upstream]
		u.update(func() { u.cold = v.cold })
		m.coldReported[v.upstream] = false
	case domainFault:
		m.domainOut[v.domain] = v.out
		m.domainChangedAt[v.domain] = m.now
		m.after(domainNoticeDelay, func() { m.policy.domainChanged(v.domain, v.out) })
	case hostFault:
		m.hostLost[v.host] = v.lost
		m.policy.hostChanged(v.host, v.lost)
	}
	if m.onFault != nil {
		m.onFault()
	}
}

// finish records the outcome of a request for its caller. Only the first outcome counts.
func (m *model) finish(r *request, o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	m.record.addOutcome(o, m.now, r)
}

// reply sends an outcome from the entry host of the request to its caller. A host that
// is down sends none.
func (m *model) reply(r *request, o outcome) {
	if m.hostLost[r.host] {
		return
	}
	m.after(m.entryLatency, func() { m.finish(r, o) })
}

// send starts an attempt of r on upstream u from host sender. onEnd runs at the sender
// when the answer arrives there. The upstream stops the attempt at the deadline.
func (m *model) send(sender, u int, r *request, onEnd func(answer)) *attempt {
	up := m.upstreams[u]
	a := &attempt{request: r, upstream: up, sender: sender, remaining: r.work.Seconds()}
	r.sends++
	r.attempts = append(r.attempts, a)
	m.record.attempts++
	coldReported := m.coldReported[u]
	a.onEnd = func(v answer) {
		m.idleSince[sender][u] = append(m.idleSince[sender][u], m.now)
		onEnd(v)
	}
	m.after(m.connectTime(sender, u, r.idempotent)+m.networkLatency(a), func() {
		if a.state == ended {
			return
		}
		a.started = m.now
		if m.now >= r.deadline {
			a.state = ended
			m.attemptEnded(a, true)
			return
		}
		m.startAttempt(a, coldReported)
	})
	return a
}

// networkLatency returns the one-way latency between sender and upstream.
func (m *model) networkLatency(a *attempt) time.Duration {
	return m.workload.latency(m.workload.domainOf(a.sender), a.upstream.domain)
}

// enableSpareConnections makes each sender keep one unused connection to each upstream
// open. When a request takes it, the sender opens the next.
func (m *model) enableSpareConnections() {
	m.spareReadyAt = make([][]time.Duration, m.workload.Hosts)
	for h := range m.spareReadyAt {
		m.spareReadyAt[h] = make([]time.Duration, m.workload.Upstreams)
	}
}

// connectTime returns the time until a connection is available. Non-idempotent requests
// always use a new connection.
func (m *model) connectTime(sender, u int, reuse bool) time.Duration {
	if m.spareReadyAt != nil && !reuse {
		wait := max(0, m.spareReadyAt[sender][u]-m.now)
		m.spareReadyAt[sender][u] = m.now + wait + connectCost
		return wait
	}
	pool := m.idleSince[sender][u]
	if !reuse || len(pool) == 0 || m.now-pool[len(pool)-1] > connectionIdleTimeout {
		return connectCost
	}
	m.idleSince[sender][u] = pool[:len(pool)-1]
	return 0
}

// startAttempt adds the attempt to its upstream and records starts beyond the limits.
func (m *model) startAttempt(a *attempt, coldReported bool) {
	u := a.upstream
	u.start(a)
	m.record.addStart(u, coldReported)
	if m.domainOut[u.domain] && m.now > m.domainChangedAt[u.domain]+domainOutGrace {
		m.record.startsAfterDomainOut++
	}
}

// attemptEnded sends the answer of an attempt back to its sender.
func (m *model) attemptEnded(a *attempt, expired bool) {
	u := a.upstream
	v := answer{workTime: m.now - a.started, inFlight: len(u.running), cold: u.cold, expired: expired}
	m.after(m.networkLatency(a), func() {
		if v.cold && u.cold {
			m.coldReported[u.index] = true
		}
		a.onEnd(v)
	})
}

// probe runs probeWork on upstream u from host sender.
func (m *model) probe(sender, u int, onEnd func(answer)) {
	up := m.upstreams[u]
	// The time after the end of arrivals is not part of the run.
	if m.now <= m.duration {
		m.record.addProbe(u, m.now)
	}
	a := &attempt{upstream: up, sender: sender, remaining: probeWork.Seconds(), onEnd: onEnd}
	m.after(connectCost+m.networkLatency(a), func() { m.startAttempt(a, false) })
}

// cancel ends an attempt whose answer is no longer needed. onRemoved runs at the sender
// when it knows that the upstream no longer runs the attempt, unless the attempt ended
// before the cancellation arrived.
func (m *model) cancel(a *attempt, onRemoved func()) {
	delay := m.networkLatency(a)
	m.after(delay, func() {
		switch a.state {
		case sending:
			a.state = ended
		case running:
			a.upstream.remove(a)
		case ended:
			return
		}
		m.after(delay, onRemoved)
	})
}
