package htentry

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htrelay"
	"hawthornturn/io/htlog"
)

// CallRecord describes how a request of a caller ended.
type CallRecord struct {
	RequestID  string
	HostHeader string
	URI        string
	Call       *htrelay.Call // nil if the request was rejected before a call was made of it
	Answer     *htrelay.Answer
	Duration   time.Duration
}

// CallStarted adds a call to those in flight.
func (e *Entry) CallStarted() { e.metrics.inFlight.Inc() }

// CallAhead counts a call that runs before the answer to the one in front of it on its connection.
func (e *Entry) CallAhead() { e.metrics.ahead.Inc() }

// CallEnded removes a call from those in flight, records its metrics and writes its log line.
func (e *Entry) CallEnded(record CallRecord) {
	e.metrics.inFlight.Dec()
	e.metrics.recordCall(&record)
	answer := record.Answer
	if record.Call != nil && record.Call.Account != nil {
		e.metrics.accounts.record(e.timers.Now(), record.Call.Account.Name, accountResult{answer.Outcome, answer.Reason})
	}
	fields := logrus.Fields{
		htlog.FieldEvent: "call", "request": record.RequestID, htlog.FieldOutcome: answer.Outcome, "status": answer.Status, "ms": record.Duration.Milliseconds(),
	}
	if answer.Reason != htcall.ReasonNone {
		fields["reason"] = answer.Reason
	}
	if record.Call == nil {
		fields["host-name"], fields["uri"] = record.HostHeader, record.URI
	} else {
		addCall(fields, record.Call)
		fields["config"] = configVersion(e.Catalog().Config)
	}
	addTrace(fields, &answer.Trace)
	if answer.Outcome == htcall.NotRun && record.Call != nil {
		fields["ahead"], fields["pressure"] = answer.Trace.Ahead, percent(answer.Trace.Pressure)
		addUpstreamCounts(fields, &answer.Trace.UpstreamCounts)
		addShare(fields, answer.Trace.Share)
	}
	if answer.RetryAfter > 0 {
		fields["retry-after-ms"] = answer.RetryAfter.Milliseconds()
	}
	logrus.WithFields(fields).Info("call answered")
}

// addShare adds what the account of a refused call uses and may use, in percent of its usual load.
func addShare(fields logrus.Fields, s *htrelay.Share) {
	if s == nil {
		return
	}
	fields["use"], fields["picture-age-ms"] = percent(s.Use), milliseconds(s.Age)
	if !math.IsInf(s.Level, 1) {
		fields["share"] = percent(s.Level)
	}
}

func addCall(fields logrus.Fields, c *htrelay.Call) {
	fields["route"] = c.Route.Name
	if c.Account != nil {
		fields["account"], fields["class"] = c.Account.Name, c.Priority()
	}
	fields["target-ms"], fields["left-ms"] = c.Route.Target.Milliseconds(), c.Deadline.Sub(c.Arrived).Milliseconds()
	fields["idempotent"], fields["attempts"] = c.Route.Idempotent, c.Route.Attempts
	// FirstAttempt is the estimated time at which the caller first attempted this call; it is
	// before Arrived if this request is a retry of the caller.
	if tried := c.Arrived.Sub(c.FirstAttempt); !c.FirstAttempt.IsZero() && tried > 0 {
		fields["tried-ms"] = tried.Milliseconds()
	}
}

// addTrace adds the service and, if the call was sent, the last send with the estimates of
// its upstream at that time.
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
