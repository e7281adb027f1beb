package htrelay

import (
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htselect"
)

// Preview is what would happen to a call now.
type Preview struct {
	Parts     []htselect.PartPreview
	Service   string // empty if the route has no parts
	Priority  int
	Forecast  Forecast
	Usual     time.Duration // usual work time of the route
	Waiting   int           // calls that wait for the service on this host
	Pressure  float64       // share of the recent calls to the service that had to wait
	Upstreams []htselect.UpstreamPreview
}

// Forecast is what would become of a call: WouldSend, WouldWait or WouldRefuse.
type Forecast interface{ forecast() }

// WouldSend means that the call would be sent at once.
type WouldSend struct {
	Choice *htselect.Choice
	// Probes is set if no good upstream is known, so that some would be probed first and
	// another one may be chosen.
	Probes bool
}

// WouldWait means that the call would wait on this host.
type WouldWait struct {
	Choice   *htselect.Choice // the best upstream, which is not good enough, or nil
	Reason   htcall.Reason    // why there is none
	Ahead    int              // calls that would precede it
	Estimate time.Duration    // of the wait
}

// WouldRefuse means that the call would be refused.
type WouldRefuse struct {
	Reason     htcall.Reason
	RetryAfter time.Duration
}

func (WouldSend) forecast()   {}
func (WouldWait) forecast()   {}
func (WouldRefuse) forecast() {}

// Preview returns what Serve would do with a call now, by what is known before any probe. It
// sends nothing, takes no tokens and changes no state.
func (r *Relay) Preview(call *Call) Preview {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Preview{Parts: r.selector.PreviewParts(call.Route), Priority: call.Priority(), Usual: r.selector.UsualWorkTime(call.Route)}
	p.Service = likelyService(p.Parts)
	q := r.queues[p.Service]
	if q == nil {
		q = &queue{}
	}
	pressure := q.pressure // a copy, since reading it lets it decay
	p.Waiting, p.Pressure = len(q.waiters), pressure.share(now)
	left := r.timeLeft(now, call)
	choice := r.selector.PreviewChoice(now, call.Route, p.Service, left)
	p.Upstreams = choice.Upstreams
	switch {
	case r.crashes.blocked(now, call.fingerprint()):
		p.Forecast = WouldRefuse{htcall.ReasonQuarantined, crashWindow}
	case !r.cutAt.IsZero() && r.cutAt.Sub(now) < stopWorkFactor*p.Usual:
		p.Forecast = WouldRefuse{htcall.ReasonStopping, freeRetryAfter}
	default:
		p.Forecast = r.forecast(now, q, call, p.Service, left, choice)
	}
	return p
}

// likelyService returns the service of the next part or, if that is not known, of the part with
// the largest weight.
func likelyService(parts []htselect.PartPreview) string {
	service, most := "", -1
	for _, p := range parts {
		if p.Next {
			return p.Service
		}
		if p.Weight > most {
			service, most = p.Service, p.Weight
		}
	}
	return service
}

// forecast follows acquire. The caller holds r.mu.
func (r *Relay) forecast(now time.Time, q *queue, call *Call, service string, left time.Duration, p htselect.Preview) Forecast {
	ahead := r.ahead(now, q, call)
	delay := r.shareDelay(now, q, call)
	choice, refused := p.Choice, p.Refused
	switch {
	case delay > 0 && !call.onTime(now, delay+r.selector.UsualWorkTime(call.Route)):
		return WouldRefuse{htcall.ReasonOverShare, htselect.ClampRetryAfter(delay)}
	case refused != nil && !refused.Transient:
		return WouldRefuse{refused.Reason, refused.RetryAfter}
	case refused == nil && ahead == 0 && delay == 0 && (choice.Good() || !choice.Fresh()):
		return WouldSend{choice, !choice.Good()}
	}
	wait := WouldWait{Choice: choice, Ahead: ahead}
	if refused == nil && ahead == 0 {
		wait.Estimate = max(delay, choice.MaxWait(call.Route.Target))
		return wait
	}
	wait.Estimate = r.selector.PreviewWait(now, call.Route, service, ahead)
	if refused != nil {
		wait.Reason = refused.Reason
		if refused.Reason == htcall.ReasonColdLimit {
			wait.Estimate = refused.RetryAfter
		}
	}
	if wait.Estimate > left || r.lastInFullQueue(now, q, call) == len(q.waiters) {
		return WouldRefuse{htcall.ReasonQueueFull, htselect.ClampRetryAfter(wait.Estimate)}
	}
	return wait
}
