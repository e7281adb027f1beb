package htmodel

// idealPolicy is a reference that no real policy can reach: one FIFO queue, exact
// knowledge of speed and load, and no network latency, not even between caller and
// entry host.
type idealPolicy struct {
	model *model
	queue []*request
}

func newIdealPolicy(m *model) policy {
	p := &idealPolicy{model: m}
	m.entryLatency = 0
	m.onFault = p.dispatch
	for _, u := range m.upstreams {
		u.onEnded = func(a *attempt, expired bool) {
			if !expired {
				m.finish(a.request, done)
			}
			p.dispatch()
		}
	}
	return p
}

func (p *idealPolicy) arrive(r *request) {
	p.queue = append(p.queue, r)
	p.dispatch()
}

func (p *idealPolicy) domainChanged(int, bool) {}

func (p *idealPolicy) hostChanged(int, bool) {}

// dispatch starts queued requests while an upstream has capacity.
func (p *idealPolicy) dispatch() {
	for len(p.queue) > 0 {
		u := p.fastest()
		if u == nil {
			return
		}
		r := p.queue[0]
		p.queue = p.queue[1:]
		if !r.ended {
			p.start(u, r)
		}
	}
}

// fastest returns the upstream on which the next request runs fastest, among those in
// service and below their concurrency limit, or nil if there is none.
func (p *idealPolicy) fastest() *upstream {
	var best *upstream
	bestSpeed := 0.0
	for _, u := range p.model.upstreams {
		n := len(u.running)
		if p.model.domainOut[u.domain] || n >= u.concurrencyLimit() {
			continue
		}
		if s := u.speed(n + 1); s > bestSpeed {
			best, bestSpeed = u, s
		}
	}
	return best
}

func (p *idealPolicy) start(u *upstream, r *request) {
	a := &attempt{request: r, upstream: u, remaining: r.work.Seconds()}
	p.model.record.attempts++
	r.attempts = append(r.attempts, a)
	p.model.startAttempt(a, true)
}
