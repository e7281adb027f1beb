package htrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornturn/core/htmemory"
	"hawthornturn/core/htselect"
)

// recordResult updates the state of the upstream from the result of one send.
func (r *Relay) recordResult(ctx context.Context, of *run, c *htselect.Choice, reply Reply) {
	call := of.call
	now := r.now()
	fault := htselect.Fault{Upstream: c.Upstream.Ref()}
	var report *htselect.Observation
	r.mu.Lock()
	if end, ran := sendEnd(reply); ran {
		r.selector.RecordResult(now, c, end)
	}
	r.selector.Ended(c)
	r.untrackRun(c.Upstream.Ref(), of)
	switch reply := reply.(type) {
	case Answered:
		report = reply.Report
		r.recordNotice(now, c.Upstream, reply.Notice)
		switch {
		case reply.Status == http.StatusGatewayTimeout:
			fault.Weight = htselect.FaultTimeout
		case reply.Status >= http.StatusInternalServerError:
			fault.Weight = htselect.FaultError
		default:
			r.crashes.served(call.fingerprint())
			r.answers.record(call.Route, reply.Body.Reserved())
			fault = r.selector.Answered(c, reply.Work, reply.Body.Len())
			r.selector.EarnHedges(now, c, reply.Work)
		}
	case Refused:
		report = reply.Report
		r.recordNotice(now, c.Upstream, reply.Notice)
		r.selector.CallRefused(now, c)
		if reply.Misdirected {
			r.selector.Misdirected(c)
		}
	case NotSent:
		switch {
		case reply.ConnectRefused:
			r.observe(now, htselect.Observation{Upstream: c.Upstream.Ref(), Slots: c.Upstream.Slots, Down: true, Gone: true})
			defer r.events.UpstreamDown(c.Upstream, reply.Err, true)
		case reply.ConnectTimeout:
			fault.Weight = htselect.FaultConnectTimeout
		}
	case Broken:
		fault.Weight = brokenFaultWeight(call, now, reply)
		if reply.Reset {
			r.crashes.connectionBroke(now, call.fingerprint(), c.Upstream)
			// The probe tells a lost answer from a crash of the upstream.
			go r.probe(ctx, c.Upstream)
		}
	}
	if report != nil {
		report.Upstream = c.Upstream.Ref()
		r.observe(now, *report)
	}
	faulty := r.selector.AddFault(now, fault)
	r.dispatch(of.service)
	r.mu.Unlock()
	if fault.Weight > 0 {
		r.events.UpstreamFault(c.Upstream, fault, faulty)
	}
}

// brokenFaultWeight returns the fault weight of a send that ended without an answer. A
// canceled send, or one whose answer this host has no memory for, says nothing about the
// upstream and has weight 0.
func brokenFaultWeight(call *Call, now time.Time, reply Broken) float64 {
	if errors.Is(reply.Err, context.Canceled) || errors.Is(reply.Err, htmemory.ErrNoMemory) {
		return 0
	}
	if now.Before(call.Deadline) {
		return htselect.FaultError
	}
	return htselect.FaultTimeout
}

// sendEnd returns how a send ended, or false if it did not run. An answer that came too late
// for the upstream's own deadline is a slow one.
func sendEnd(reply Reply) (htselect.SendEnd, bool) {
	switch reply := reply.(type) {
	case Answered:
		if reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusGatewayTimeout {
			return htselect.SendFailed, true
		}
		return htselect.SendAnswered, true
	case Broken:
		switch {
		case errors.Is(reply.Err, htmemory.ErrNoMemory):
			return 0, false
		case errors.Is(reply.Err, context.Canceled), errors.Is(reply.Err, context.DeadlineExceeded):
			return htselect.SendAbandoned, true
		}
		return htselect.SendFailed, true
	}
	return 0, false
}
