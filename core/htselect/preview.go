package htselect

import (
	"slices"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
)

// Verdict is what a choice finds about one upstream.
type Verdict string

// Verdicts. All but VerdictCandidate and VerdictChosen are reasons why the upstream can't get
// the call.
const (
	VerdictChosen    Verdict = "chosen"
	VerdictCandidate Verdict = "lost" // another one has a lower score or a fresh report
	VerdictOut       Verdict = "failure-domain-out"
	VerdictDraining  Verdict = "draining"
	VerdictLeaving   Verdict = "leaving"
	VerdictReused    Verdict = "address-reused"
	VerdictDown      Verdict = "down"
	VerdictTried     Verdict = "tried"
	VerdictAperture  Verdict = "not-considered" // beyond the aperture and without a fresh report
	VerdictCold      Verdict = "cold-limit"
	VerdictPaused    Verdict = "paused"
	VerdictRefused   Verdict = "refused-a-call" // less than refusalPause ago
	VerdictFull      Verdict = "full"
	VerdictVersion   Verdict = "version" // it gets no call of a roll-out now
	VerdictBusy      Verdict = "busy"    // a call would wait for the comparison of two versions
)

// unusableVerdict returns why an upstream may not get a call, whatever its load. It is
// VerdictTried for a usable one.
func (s *Selector) unusableVerdict(u *upstream) Verdict {
	switch {
	case s.catalog.DomainsOut[u.declared.Domain]:
		return VerdictOut
	case u.declared.Draining:
		return VerdictDraining
	case u.leaving:
		return VerdictLeaving
	case u.addressReused:
		return VerdictReused
	case u.report.Down:
		return VerdictDown
	}
	return VerdictTried
}

// fullVerdict returns why an upstream without a free slot gets no call.
func (u *upstream) fullVerdict(now time.Time) Verdict {
	if now.Before(u.avoidUntil) {
		return VerdictRefused
	}
	return VerdictFull
}

// Preview is what Choose would return now, without the random part of the scores, and what it
// would find about each upstream. Nothing changes in the Selector.
type Preview struct {
	Choice    *Choice
	Refused   *Refused
	Upstreams []UpstreamPreview // in the order in which this host considers them
}

// UpstreamPreview is an upstream with what is known of it.
type UpstreamPreview struct {
	UpstreamDump
	Verdict  Verdict
	Version  string
	Slots    int
	Age      time.Duration // of the newest report; negative if there is none
	Fresh    bool
	Expected time.Duration // until the answer
	// Score is the expected time with the penalties for another failure domain, faults, a failed
	// health check and an unanswered probe; 0 unless the upstream is a candidate.
	Score time.Duration
}

// PreviewChoice returns what Choose would find.
func (s *Selector) PreviewChoice(now time.Time, r *htcatalog.Route, serviceName string, left time.Duration) Preview {
	sv := s.services[serviceName]
	if sv == nil || len(sv.upstreams) == 0 {
		return Preview{Refused: &Refused{Reason: htcall.ReasonNoUpstream, RetryAfter: maxRetryAfter}}
	}
	var p Preview
	state := s.previewRoute(r)
	noJitter := func() float64 { return 0 }
	p.Choice, p.Refused = s.choose(now, r, state, sv, left, nil, noJitter, func(u *upstream, v Verdict, score float64) {
		age := time.Duration(-1)
		if !u.reportedAt.IsZero() {
			age = now.Sub(u.reportedAt)
		}
		p.Upstreams = append(p.Upstreams, UpstreamPreview{
			UpstreamDump: u.dump(now),
			Verdict:      v,
			Version:      u.declared.Version,
			Slots:        u.slots(),
			Age:          age,
			Fresh:        u.fresh(now),
			Expected:     time.Duration(u.completion(now, u.load(now), state.work.mean)),
			Score:        time.Duration(score),
		})
	})
	for i := range p.Upstreams {
		if p.Choice != nil && p.Upstreams[i].ID == p.Choice.Upstream.ID {
			p.Upstreams[i].Verdict = VerdictChosen
		}
	}
	return p
}

// previewRoute returns the state of a route, or that of a new one, which is not kept.
func (s *Selector) previewRoute(r *htcatalog.Route) *route {
	if state := s.routes[r.Name]; state != nil {
		return state
	}
	return &route{work: newWork(r.Target)}
}

// PartPreview is a part of a route.
type PartPreview struct {
	Service string
	Weight  int
	Next    bool // the next call on this host goes there
}

// PreviewParts returns the parts of a route. No part is the next one if the route has several
// and no call yet, since hosts start at a random one. Nothing changes in the Selector.
func (s *Selector) PreviewParts(r *htcatalog.Route) []PartPreview {
	if len(r.Parts) == 0 {
		return nil
	}
	list := make([]PartPreview, len(r.Parts))
	for i, p := range r.Parts {
		list[i] = PartPreview{Service: p.Service, Weight: p.Weight}
	}
	if credits := slices.Clone(s.previewRoute(r).credits); len(credits) == len(r.Parts) || len(r.Parts) == 1 {
		list[nextPart(r.Parts, append(credits, make([]float64, len(list)-len(credits))...))].Next = true
	}
	return list
}

// PreviewWait returns what EstimateWait would.
func (s *Selector) PreviewWait(now time.Time, r *htcatalog.Route, serviceName string, ahead int) time.Duration {
	return s.estimateWait(now, s.previewRoute(r), serviceName, ahead)
}
