package htentry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htrelay"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htselect"
	"hawthornturn/io/htlog"
)

// Decided implements htrelay.Events. It writes one line a decision.
func (e *Entry) Decided(call *htrelay.Call, d htrelay.Decision) {
	fields := logrus.Fields{"request": call.ID, "route": call.Route.Name}
	switch d := d.(type) {
	case htrelay.Sent:
		e.metrics.sent(d)
		fields[htlog.FieldEvent], fields[htlog.FieldCause] = "send", d.Cause
		fields["send"], fields["left-ms"] = d.Number, d.Left.Milliseconds()
		addChoice(fields, d.Choice)
		logrus.WithFields(fields).Info("call sent")
	case htrelay.Queued:
		fields[htlog.FieldEvent], fields["left-ms"], fields["ahead"] = "wait", d.Left.Milliseconds(), d.Ahead
		if d.Choice == nil {
			fields["reason"] = d.Reason
		} else {
			addChoice(fields, d.Choice)
		}
		fields["pressure"] = percent(d.Pressure)
		addCensus(fields, &d.UpstreamCounts)
		logrus.WithFields(fields).Info("call waits for a better upstream")
	case htrelay.SendFailed:
		fields[htlog.FieldEvent], fields["took-ms"] = "send-failed", d.Took.Milliseconds()
		fields["upstream"] = d.Choice.Upstream.ID
		addReply(fields, d.Reply)
		logrus.WithFields(fields).Info("no answer of this send")
	case htrelay.NotRetried:
		e.metrics.stayed(d)
		fields[htlog.FieldEvent], fields[htlog.FieldCause], fields["because"] = "not-sent-again", d.Cause, d.StopReason
		fields["left-ms"] = d.Left.Milliseconds()
		logrus.WithFields(fields).Info("call not sent once more")
	}
}

// addChoice adds the upstream of a decision and what was believed of it.
func addChoice(fields logrus.Fields, c *htselect.Choice) {
	fields["upstream"], fields["service"], fields["domain"] = c.Upstream.ID, c.Upstream.Service, c.Upstream.Domain
	fields["speed"], fields["load"], fields["slots"] = int(100*c.WorkTimeFactor), int(c.Load), c.Upstream.Slots
	fields["age-ms"], fields["expected-ms"] = milliseconds(c.Age), c.Expected.Milliseconds()
	if c.Cold {
		fields["cold"] = true
	}
}

func percent(share float64) int { return int(100 * share) }

// milliseconds returns the age of a report; -1 means that there is none.
func milliseconds(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// addCensus adds how many upstreams of the service were in which state.
func addCensus(fields logrus.Fields, c *htselect.UpstreamCounts) {
	for name, n := range map[string]int{
		"out": c.Out, "draining": c.Draining, "down": c.Down, "tried": c.Tried,
		"cold": c.Cold, "paused": c.Paused, "full": c.Full, "busy": c.Busy, "unknown": c.Unknown,
	} {
		if n > 0 {
			fields["upstreams-"+name] = n
		}
	}
	fields["upstreams"], fields["upstreams-free"] = c.Upstreams, c.Free
}

// addReply adds what came of a send.
func addReply(fields logrus.Fields, reply htrelay.Reply) {
	switch reply := reply.(type) {
	case htrelay.Answered:
		fields[htlog.FieldCause], fields["status"] = "status", reply.Status
	case htrelay.Refused:
		fields[htlog.FieldCause], fields["misplaced"] = "refused", reply.Misdirected
	case htrelay.NotSent:
		fields[htlog.FieldCause], fields[logrus.ErrorKey] = "unsent", reply.Err
	case htrelay.Broken:
		fields[htlog.FieldCause], fields[logrus.ErrorKey] = "broken", reply.Err
		if errors.Is(reply.Err, context.Canceled) {
			fields[htlog.FieldCause] = "canceled"
		}
	}
}

// UpstreamDown implements htrelay.Events. An upstream that only this host can't reach may
// serve the others.
func (e *Entry) UpstreamDown(u htcatalog.Upstream, err error, gone bool) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "upstream-down", "upstream": u.ID, "service": u.Service, "failure-domain": u.Domain, "gone": gone,
	}).WithError(err).Warn("upstream does not answer")
	if gone {
		e.tell(change{gone: u.Ref()})
	}
}

// UpstreamChanged implements htrelay.Events.
func (*Entry) UpstreamChanged(u htcatalog.Upstream, before, after htselect.Observation) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "upstream-state", "upstream": u.ID, "service": u.Service, "failure-domain": u.Domain,
		"before": before.State(), "after": after.State(), "cold-ms": after.Cold.Milliseconds(),
	}).Info("upstream can be used differently")
}

// UpstreamFault implements htrelay.Events.
func (e *Entry) UpstreamFault(u htcatalog.Upstream, f htselect.Fault, avoided bool) {
	if avoided {
		logFault(u, e.settings.Self.Name)
	}
	e.tell(change{fault: &f})
}

// logFault writes the line of an upstream that counts as faulty from now on.
func logFault(u htcatalog.Upstream, seenBy string) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "upstream-fault", "upstream": u.ID, "service": u.Service, "seen-by": seenBy,
	}).Info("upstream is avoided for some seconds")
}

// Crashed implements htrelay.Events. The others are told at once: copies of a request that
// crashes upstreams may be on their way to other hosts.
func (e *Entry) Crashed(c htroute.CrashCount) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "crash-counted", "fingerprint": c.Fingerprint, "upstream-ref": c.Reporter, "crashes": c.Count,
	}).Warn("an upstream went down while it ran a request")
	e.tell(change{crash: &c})
}
