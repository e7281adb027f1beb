package htmodel

import (
	"math"
	"time"
)

// hostAloneSettings selects a policy in which each host decides without coordination.
type hostAloneSettings struct {
	roundRobin  bool
	sampleSize  int // number of random candidates; 0 means all upstreams
	score       func(p *hostAlonePolicy, h *hostState, u int) float64
	hedge       bool // hedge lookups after hedgeDelay, within hedgeShare
	queueAtHost bool // queue requests at the host while no upstream appears to have a free slot
}

// Constants of the host-alone policies.
const (
	reportDecay   = 25 * time.Millisecond // time constant with which a report loses weight
	hedgeDelay    = 80 * time.Millisecond // about the 95th percentile of the response time
	hedgeShare    = 0.1
	hedgeBurst    = 10.0
	pollInterval  = 4 * time.Millisecond   // interval between checks of a non-empty queue
	maxQueueWait  = 60 * time.Millisecond  // after this time a queued request is sent anyway
	coldReportTTL = 500 * time.Millisecond // time for which a report of cold state is used
	coldPenalty   = 4.0                    // requests added to the estimated load of a cold upstream
)

// hostAlonePolicy is a policy without dispatchers: the entry host that receives a
// request chooses the upstream from its own state only.
type hostAlonePolicy struct {
	model     *model
	settings  hostAloneSettings
	hosts     []*hostState
	domainOut []bool // by failure domain: known to be out of service
}

// hostState is the state of one entry host.
type hostState struct {
	index           int
	nextRoundRobin  int
	hedgeTokens     float64
	queue           []queuedRequest
	pollScheduled   bool // a check of the queue is scheduled
	views           []upstreamView
	meanOthers      float64 // mean of othersInFlight over all views
	candidateBuffer []int   // reused by the method candidates
}

// queuedRequest is a request in the queue of a host.
type queuedRequest struct {
	request *request
	since   time.Duration
}

// upstreamView is the state of one upstream as known to a host.
type upstreamView struct {
	ownInFlight      int // in flight from this host
	reportedInFlight int // in flight from all hosts, in the last report
	othersInFlight   int // in flight from other hosts, computed at the last report
	reportedAt       time.Duration
	coldReportedAt   time.Duration // set if the last report was of cold state; otherwise 0
	workTime         float64       // moving average of the time on the upstream, in seconds
}

func newHostAlonePolicy(s hostAloneSettings) func(*model) policy {
	return func(m *model) policy {
		p := &hostAlonePolicy{model: m, settings: s, domainOut: make([]bool, m.workload.Domains)}
		for i := range m.workload.Hosts {
			h := &hostState{index: i, nextRoundRobin: m.rng.IntN(m.workload.Upstreams), views: make([]upstreamView, m.workload.Upstreams)}
			for u := range h.views {
				h.views[u].workTime = meanWork.Seconds()
			}
			p.hosts = append(p.hosts, h)
		}
		return p
	}
}

func (p *hostAlonePolicy) domainChanged(domain int, out bool) { p.domainOut[domain] = out }

// hostChanged drops the queue of a killed host.
func (p *hostAlonePolicy) hostChanged(host int, lost bool) {
	if lost {
		h := p.hosts[host]
		h.queue = nil
	}
}

func (p *hostAlonePolicy) arrive(r *request) {
	h := p.hosts[r.host]
	h.hedgeTokens = min(h.hedgeTokens+hedgeShare, hedgeBurst)
	if p.settings.queueAtHost {
		h.queue = append(h.queue, queuedRequest{r, p.model.now})
		p.drainQueue(h)
		return
	}
	p.sendAttempt(h, r, p.choose(h, -1))
}

// choose returns the upstream with the lowest score for the next request, other than
// avoid. Ties are broken at random.
func (p *hostAlonePolicy) choose(h *hostState, avoid int) int {
	candidates := p.candidates(h, avoid)
	h.meanOthers = 0
	for i := range h.views {
		h.meanOthers += float64(h.views[i].othersInFlight) / float64(len(h.views))
	}
	if p.settings.roundRobin {
		h.nextRoundRobin++
		return candidates[h.nextRoundRobin%len(candidates)]
	}
	if p.settings.sampleSize > 0 && p.settings.sampleSize < len(candidates) {
		p.model.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:p.settings.sampleSize]
	}
	best, bestScore, ties := candidates[0], math.Inf(1), 0
	for _, u := range candidates {
		s := p.settings.score(p, h, u)
		switch {
		case s < bestScore:
			best, bestScore, ties = u, s, 1
		case s == bestScore:
			ties++
			if p.model.rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}

// candidates returns the upstreams in service, other than avoid.
func (p *hostAlonePolicy) candidates(h *hostState, avoid int) []int {
	all := h.candidateBuffer[:0]
	for _, u := range p.model.upstreams {
		if !p.domainOut[u.domain] && u.index != avoid {
			all = append(all, u.index)
		}
	}
	h.candidateBuffer = all
	return all
}

func (p *hostAlonePolicy) sendAttempt(h *hostState, r *request, u int) {
	h.views[u].ownInFlight++
	var a *attempt
	a = p.model.send(h.index, u, r, func(v answer) {
		p.recordAnswer(h, u, v)
		if !v.expired {
			r.answered = true
			p.model.reply(r, done)
		}
		if p.settings.queueAtHost {
			p.drainQueue(h)
		}
	})
	if p.settings.hedge && r.idempotent && r.sends == 1 {
		p.model.after(hedgeDelay, func() { p.hedge(h, r, a, u) })
	}
}

// recordAnswer updates the view of upstream u from an answer.
func (p *hostAlonePolicy) recordAnswer(h *hostState, u int, v answer) {
	s := &h.views[u]
	s.ownInFlight--
	s.reportedInFlight = v.inFlight
	s.othersInFlight = max(0, v.inFlight-s.ownInFlight)
	s.reportedAt = p.model.now
	s.coldReportedAt = 0
	if v.cold {
		s.coldReportedAt = p.model.now
	}
	const weight = 0.2
	s.workTime += weight * (v.workTime.Seconds() - s.workTime)
}

// hedge sends a second attempt of a lookup that has no answer yet, if a hedge token is
// left. The first answer counts, and the other attempt is canceled.
func (p *hostAlonePolicy) hedge(h *hostState, r *request, first *attempt, u int) {
	if r.ended || r.answered || h.hedgeTokens < 1 {
		return
	}
	h.hedgeTokens--
	p.model.record.hedges++
	other := p.choose(h, u)
	answered := false
	var second *attempt
	cancel := func(a *attempt) {
		if !answered {
			answered = true
			p.model.cancel(a, func() { h.views[a.upstream.index].ownInFlight-- })
		}
	}
	reply := first.onEnd
	first.onEnd = func(v answer) {
		reply(v)
		cancel(second)
	}
	h.views[other].ownInFlight++
	second = p.model.send(h.index, other, r, func(v answer) {
		p.recordAnswer(h, other, v)
		if !v.expired {
			p.model.reply(r, done)
		}
		cancel(first)
	})
}

// drainQueue sends queued requests while an upstream appears to have a free slot.
// Requests older than maxQueueWait are sent anyway.
func (p *hostAlonePolicy) drainQueue(h *hostState) {
	for len(h.queue) > 0 {
		q := h.queue[0]
		u := p.choose(h, -1)
		free := p.settings.score(p, h, u) < float64(p.model.workload.Slots)-0.5
		if !free && p.model.now-q.since < maxQueueWait && !q.request.ended {
			break
		}
		h.queue = h.queue[1:]
		if !q.request.ended {
			p.sendAttempt(h, q.request, u)
		}
	}
	if len(h.queue) > 0 && !h.pollScheduled {
		h.pollScheduled = true
		p.model.after(pollInterval, func() {
			h.pollScheduled = false
			p.drainQueue(h)
		})
	}
}
