package htexplain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hawthornturn/core/htcall"
)

const (
	// tightShare of the time left is the expected time from which a call could hardly end
	// in time.
	tightShare = 0.85
	// longWait is the share of the time taken from which a wait is the cause.
	longWait = 0.5
	// soon is how long after the end of a request the loss of an upstream may be told.
	soon = time.Second
)

// cause says in a sentence why the request ended as it did.
func (h *History) cause() string {
	call := h.call()
	if call == nil {
		return h.unfinished()
	}
	reason := htcall.Reason(call.Fields["reason"])
	switch htcall.Outcome(call.Fields["outcome"]) {
	case htcall.NotRun:
		return "not run, and never will be: " + h.refused(call, reason)
	case htcall.Unknown:
		return "may have run: " + h.unknown(call, reason)
	}
	return h.done(call)
}

// unfinished explains a request without a last line.
func (h *History) unfinished() string {
	last := h.Steps[len(h.Steps)-1]
	for _, l := range h.Nearby {
		if l.Event == "host-started" && l.Time.After(last.Time) {
			return fmt.Sprintf("no answer: host %s ended and started again %s after the last step", h.Host, l.Time.Sub(last.Time))
		}
	}
	if h.DroppedLines > 0 {
		return fmt.Sprintf("the end is not in the log: host %s dropped %d lines around it", h.Host, h.DroppedLines)
	}
	return fmt.Sprintf("no answer: host %s wrote no line of it after %s; it was killed or stands still, or the log is cut", h.Host, last.Time.Format(time.TimeOnly))
}

// census tells how the upstreams of the service stood.
func census(call *Line) string {
	var states []string
	for _, state := range []string{"out", "draining", "down", "tried", "cold", "paused", "full", "busy", "free", "unknown"} {
		if n := call.number("upstreams-" + state); n > 0 {
			states = append(states, fmt.Sprintf("%d %s", n, state))
		}
	}
	return fmt.Sprintf("of %d upstreams of %s %s", max(call.number("upstreams"), 0), call.Fields["service"], strings.Join(states, ", "))
}

func (h *History) refused(call *Line, reason htcall.Reason) string {
	came := fmt.Sprintf("; told to come back after %d ms", call.number("retry-after-ms"))
	switch reason {
	case htcall.ReasonQueueFull, htcall.ReasonDeadline:
		ms, left := call.number("ms"), call.number("left-ms")
		if waits := h.count("wait"); waits > 0 {
			return fmt.Sprintf("it waited until no answer could come in time (%d ms, target %d ms, %d ms given); %s, and %d calls waited before it",
				ms, call.number("target-ms"), left, census(call), max(call.number("ahead"), 0)) + came
		}
		return fmt.Sprintf("the expected wait was longer than the %d ms given; %s, and %d calls waited before it",
			left, census(call), max(call.number("ahead"), 0)) + came
	case htcall.ReasonNoUpstream:
		return "no upstream may be used; " + census(call) + came
	case htcall.ReasonColdLimit:
		return "only cold upstreams are left and they have got what they bear; " + census(call) + came
	case htcall.ReasonRefused, htcall.ReasonConnect:
		return fmt.Sprintf("none of the %d upstreams that were tried took it (%s)%s", call.number("sends"), h.failures(), came)
	case htcall.ReasonQuarantined:
		return fmt.Sprintf("the same request (fingerprint %s) has crashed two upstreams or more, %d of them in these logs", call.Fields["fingerprint"], h.count("crash-counted"))
	case htcall.ReasonNotReady:
		return "the host had no configuration yet"
	case htcall.ReasonUnknownService:
		return fmt.Sprintf("no route for %s%s in the configuration in force", call.Fields["host-name"], call.Fields["uri"])
	}
	return string(reason) + came
}

func (h *History) unknown(call *Line, reason htcall.Reason) string {
	upstream := call.Fields[fieldUpstream]
	switch reason {
	case htcall.ReasonBroken:
		if h.wentDown(upstream, call.Time) {
			return fmt.Sprintf("upstream %s went down while it ran the request (%s)%s", upstream, h.failures(), h.stayed())
		}
		return fmt.Sprintf("upstream %s stayed up, but its answer was lost or spoilt (%s)%s", upstream, h.failures(), h.stayed())
	case htcall.ReasonDeadline:
		return h.late(call) + h.stayed()
	case htcall.ReasonCanceled:
		return fmt.Sprintf("the caller left after %d ms", call.number("ms"))
	}
	return string(reason)
}

// done explains a request that has an upstream's answer.
func (h *History) done(call *Line) string {
	ms, target := call.number("ms"), call.number("target-ms")
	switch {
	case call.number("status") >= 500:
		return fmt.Sprintf("upstream %s answered with status %d of its own%s", call.Fields[fieldUpstream], call.number("status"), h.stayed())
	case ms <= target:
		return fmt.Sprintf("answered on time, in %d ms of %d ms", ms, target)
	}
	return "answered late: " + h.late(call)
}

// late says where the time of a request went.
func (h *History) late(call *Line) string {
	ms, left := call.number("ms"), call.number("left-ms")
	expected, waited := call.number("expected-ms"), call.number("waited-ms")
	upstream := call.Fields[fieldUpstream]
	belief := fmt.Sprintf("%d ms expected at speed %s%% by a report %d ms old", expected, call.Fields["speed"], call.number("age-ms"))
	switch {
	case float64(waited) >= longWait*float64(ms):
		return fmt.Sprintf("it waited %d ms of %d ms for a free upstream", waited, ms)
	case float64(expected) >= tightShare*float64(left):
		return fmt.Sprintf("%d ms were given, and %s", left, belief)
	case h.wentDown(upstream, call.Time):
		return fmt.Sprintf("upstream %s went down or silent while it ran the request", upstream)
	case call.number("sends") > 1:
		return fmt.Sprintf("%d ms, with %d sends (%s); the last one to %s, %s", ms, call.number("sends"), h.failures(), upstream, belief)
	}
	return fmt.Sprintf("%d ms at %s, which became slow or silent after the choice: %s", ms, upstream, belief)
}

// wentDown reports whether a host found the upstream down around a time.
func (h *History) wentDown(upstream string, at time.Time) bool {
	return slices.ContainsFunc(h.Nearby, func(l Line) bool {
		down := l.Event == "upstream-down" || (l.Event == "upstream-state" && l.Fields["after"] == "down")
		return down && l.Fields[fieldUpstream] == upstream && l.Time.After(h.Start) && l.Time.Before(at.Add(soon))
	})
}

// failures lists what came of the sends.
func (h *History) failures() string {
	var list []string
	for i := range h.Steps {
		l := &h.Steps[i]
		if l.Event != "send-failed" {
			continue
		}
		text := l.Fields["cause"]
		if err := l.Fields["error"]; err != "" {
			text += ": " + err
		}
		list = append(list, text)
	}
	if len(list) == 0 {
		return "no failed send in the log"
	}
	return strings.Join(list, "; ")
}

// stayed says why the request was not sent once more.
func (h *History) stayed() string {
	for i := len(h.Steps) - 1; i >= 0; i-- {
		if l := &h.Steps[i]; l.Event == "not-sent-again" {
			return fmt.Sprintf("; not sent once more after this: %s", l.Fields["because"])
		}
	}
	return ""
}

func (h *History) count(event string) int {
	n := 0
	for _, list := range [][]Line{h.Steps, h.Nearby} {
		for i := range list {
			if list[i].Event == event {
				n++
			}
		}
	}
	return n
}
