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

// Decided implements htrelay.Events. It writes one log line for each decision.
func (e *Entry) Decided(call *htrelay.Call, d htrelay.Decision) {
	fields := logrus.Fields{"request": call.ID, "route": call.Route.Name}
	switch d := d.(type) {
	case htrelay.Sent:
		e.metrics.recordSend(d)
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
		addUpstreamCounts(fields, &d.UpstreamCounts)
		logrus.WithFields(fields).Info("call queued")
	case htrelay.SendFailed:
		fields[htlog.FieldEvent], fields["took-ms"] = "send-failed", d.Took.Milliseconds()
		fields["upstream"] = d.Choice.Upstream.ID
		if d.Choice.Upstream.Version != "" {
			fields["version"] = d.Choice.Upstream.Version
		}
		addReply(fields, d.Reply)
		logrus.WithFields(fields).Info("send failed")
	case htrelay.NotRetried:
		e.metrics.recordNotRetried(d)
		fields[htlog.FieldEvent], fields[htlog.FieldCause], fields["because"] = "not-sent-again", d.Cause, d.StopReason
		fields["left-ms"] = d.Left.Milliseconds()
		logrus.WithFields(fields).Info("call not sent again")
	case htrelay.Hedged:
		e.metrics.recordHedged(d)
		fields[htlog.FieldEvent], fields[htlog.FieldCause], fields["service"] = "hedged", d.Cause, d.Service
		fields["won"], fields["extra-ms"], fields["tokens-ms"] = d.Won, d.Extra.Milliseconds(), d.Tokens.Milliseconds()
		logrus.WithFields(fields).Info("call with a second send ended")
	}
}

// addChoice adds the upstream of a decision and the estimates by which it was chosen.
func addChoice(fields logrus.Fields, c *htselect.Choice) {
	fields["upstream"], fields["service"], fields["domain"] = c.Upstream.ID, c.Upstream.Service, c.Upstream.Domain
	fields["speed"], fields["load"], fields["slots"] = int(100*c.WorkTimeFactor), int(c.Load), c.Upstream.Slots
	fields["age-ms"], fields["expected-ms"] = milliseconds(c.Age), c.Expected.Milliseconds()
	if c.Cold {
		fields["cold"] = true
	}
}

func percent(share float64) int { return int(100 * share) }

// milliseconds returns the age of a report in milliseconds, or -1 if there is no report.
func milliseconds(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// addUpstreamCounts adds the number of upstreams of the service in each state.
func addUpstreamCounts(fields logrus.Fields, c *htselect.UpstreamCounts) {
	for name, n := range map[string]int{
		"out": c.Out, "draining": c.Draining, "down": c.Down, "tried": c.Tried,
		"held": c.Held, "cold": c.Cold, "paused": c.Paused, "full": c.Full, "busy": c.Busy, "unknown": c.Unknown,
	} {
		if n > 0 {
			fields["upstreams-"+name] = n
		}
	}
	fields["upstreams"], fields["upstreams-free"] = c.Upstreams, c.Free
}

// addReply adds the cause of a failed send.
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

// UpstreamDown implements htrelay.Events. It reports only an upstream that is gone to the
// other hosts, since one that this host can't reach may be reachable from them.
func (e *Entry) UpstreamDown(u htcatalog.Upstream, err error, gone bool) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "upstream-down", "upstream": u.ID, "service": u.Service, "failure-domain": u.Domain, "gone": gone,
	}).WithError(err).Warn("upstream does not answer")
	if gone {
		e.queueChange(change{gone: u.Ref()})
	}
}

// UpstreamChanged implements htrelay.Events.
func (*Entry) UpstreamChanged(u htcatalog.Upstream, before, after htselect.Observation) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "upstream-state", "upstream": u.ID, "service": u.Service, "failure-domain": u.Domain,
		"before": before.State(), "after": after.State(), "cold-ms": after.Cold.Milliseconds(),
	}).Info("upstream state changed")
}

// UpstreamLeaving implements htrelay.Events. The other hosts stop sending to the upstream too.
func (e *Entry) UpstreamLeaving(u htcatalog.Upstream) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "upstream-leaving", "upstream": u.ID, "service": u.Service, "failure-domain": u.Domain,
	}).Info("upstream announced its leaving; it gets no new calls")
	of := htselect.IncarnationOf(u)
	e.queueChange(change{leaving: &of})
}

// UpstreamPaused implements htrelay.Events.
func (*Entry) UpstreamPaused(u htcatalog.Upstream, pause time.Duration) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "upstream-paused", "upstream": u.ID, "service": u.Service, "pause-ms": pause.Milliseconds(),
	}).Info("upstream asked this host for no calls for a time")
}

// UpstreamFault implements htrelay.Events.
func (e *Entry) UpstreamFault(u htcatalog.Upstream, f htselect.Fault, avoided bool) {
	if avoided {
		logFault(u, e.settings.Self.Name)
	}
	e.queueChange(change{fault: &f})
}

// logFault logs that an upstream counts as faulty from now on.
func logFault(u htcatalog.Upstream, seenBy string) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "upstream-fault", "upstream": u.ID, "service": u.Service, "seen-by": seenBy,
	}).Info("upstream avoided for some seconds")
}

// Crashed implements htrelay.Events. It sends the count to the other hosts at once, not only
// with the next heartbeats, since retries of a request that crashes upstreams may be on their
// way to them.
func (e *Entry) Crashed(c htroute.CrashCount) {
	logrus.WithFields(logrus.Fields{
		htlog.FieldEvent: "crash-counted", "fingerprint": c.Fingerprint, "upstream-ref": c.Reporter, "crashes": c.Count,
	}).Warn("upstream went down while it ran a request")
	e.queueChange(change{crash: &c})
}
