package htentry

import (
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htrelay"
	"hawthornturn/io/htlog"
)

// Record says how a request of a caller ended.
type Record struct {
	Request string
	Host    string // name in the request
	URI     string
	Call    *htrelay.Call // nil if the request was turned away before it became one
	Answer  *htrelay.Answer
	Took    time.Duration
}

// CallStarted counts a call.
func (e *Entry) CallStarted() { e.metrics.inFlight.Inc() }

// CallEnded counts a call and writes its line.
func (e *Entry) CallEnded(r Record) {
	e.metrics.inFlight.Dec()
	e.metrics.ended(&r)
	a := r.Answer
	fields := logrus.Fields{
		htlog.FieldEvent: "call", "request": r.Request, htlog.FieldOutcome: a.Outcome, "status": a.Status, "ms": r.Took.Milliseconds(),
	}
	if a.Reason != htcall.ReasonNone {
		fields["reason"] = a.Reason
	}
	if r.Call == nil {
		fields["host-name"], fields["uri"] = r.Host, r.URI
	} else {
		addCall(fields, r.Call)
		fields["config"] = configVersion(e.Catalog().Config)
	}
	addTrace(fields, &a.Trace)
	if a.Outcome == htcall.NotRun && r.Call != nil {
		fields["ahead"], fields["pressure"] = a.Trace.Ahead, percent(a.Trace.Pressure)
		addCensus(fields, &a.Trace.UpstreamCounts)
	}
	if a.RetryAfter > 0 {
		fields["retry-after-ms"] = a.RetryAfter.Milliseconds()
	}
	logrus.WithFields(fields).Info("call answered")
}

func addCall(fields logrus.Fields, c *htrelay.Call) {
	fields["route"] = c.Route.Name
	fields["target-ms"], fields["left-ms"] = c.Route.Target.Milliseconds(), c.Deadline.Sub(c.Arrived).Milliseconds()
	fields["idempotent"], fields["attempts"] = c.Route.Idempotent, c.Route.Attempts
	if tried := c.Arrived.Sub(c.FirstAttempt); !c.FirstAttempt.IsZero() && tried > 0 {
		fields["tried-ms"] = tried.Milliseconds()
	}
}

// addTrace adds how the answer came about: the last send with what was believed then.
func addTrace(fields logrus.Fields, t *htrelay.Trace) {
	if t.Service != "" {
		fields["service"] = t.Service
	}
	if t.Fingerprint != "" {
		fields["fingerprint"] = t.Fingerprint
	}
	if t.Sends == 0 {
		return
	}
	fields["upstream"], fields["sends"], fields["hedges"] = t.Upstream, t.Sends, t.Hedges
	fields["waited-ms"] = t.Waited.Milliseconds()
	fields["speed"], fields["load"] = int(100*t.WorkTimeFactor), int(t.Load)
	fields["age-ms"], fields["expected-ms"] = milliseconds(t.Age), t.Expected.Milliseconds()
}
