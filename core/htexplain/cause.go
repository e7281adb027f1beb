package htexplain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hawthornturn/core/htcall"
)

const (
	// tightDeadlineRatio is the smallest ratio of the expected time to the time left at
	// which a call is unlikely to end in time.
	tightDeadlineRatio = 0.85
	// dominantWaitRatio is the smallest ratio of the wait to the total time at which the
	// wait is reported as the cause.
	dominantWaitRatio = 0.5
	// downReportDelay bounds the time after the end of a request within which a log line
	// that an upstream is down is attributed to the request.
	downReportDelay = time.Second
)

// cause returns a sentence that says why the request ended as it did.
func (h *History) cause() string {
	callLine := h.callLine()
	if callLine == nil {
		return h.unfinishedCause()
	}
	reason := htcall.Reason(callLine.Fields["reason"])
	switch htcall.Outcome(callLine.Fields["outcome"]) {
	case htcall.NotRun:
		return "not run, and never will be: " + h.refusedCause(callLine, reason)
	case htcall.Unknown:
		return "may have run: " + h.unknownCause(callLine, reason)
	}
	return h.doneCause(callLine)
}

// unfinishedCause returns the cause for a request without a call line, which would be its
// last.
func (h *History) unfinishedCause() string {
	last := h.Steps[len(h.Steps)-1]
	for _, l := range h.Nearby {
		if l.Event == "host-started" && l.Time.After(last.Time) {
			return fmt.Sprintf("no answer: host %s restarted %s after the last step", h.Host, l.Time.Sub(last.Time))
		}
	}
	if h.DroppedLines > 0 {
		return fmt.Sprintf("the end of the request is not in the log: host %s dropped %d lines around that time", h.Host, h.DroppedLines)
	}
	return fmt.Sprintf("no answer: host %s logged nothing about the request after %s; the host was killed or hangs, or the log is incomplete", h.Host, last.Time.Format(time.TimeOnly))
}

// upstreamCounts returns the number of the service's upstreams in each state.
func upstreamCounts(call *Line) string {
	var states []string
	for _, state := range []string{"out", "draining", "down", "tried", "cold", "paused", "full", "busy", "free", "unknown"} {
		if n := call.number("upstreams-" + state); n > 0 {
			states = append(states, fmt.Sprintf("%d %s", n, state))
		}
	}
	return fmt.Sprintf("of %d upstreams of %s %s", max(call.number("upstreams"), 0), call.Fields["service"], strings.Join(states, ", "))
}

func (h *History) refusedCause(call *Line, reason htcall.Reason) string {
	retryHint := fmt.Sprintf("; told to come back after %d ms", call.number("retry-after-ms"))
	switch reason {
	case htcall.ReasonQueueFull, htcall.ReasonDeadline:
		ms, left := call.number("ms"), call.number("left-ms")
		if waits := h.count("wait"); waits > 0 {
			return fmt.Sprintf("it waited until no answer could come in time (%d ms, target %d ms, %d ms given); %s, and %d calls waited before it",
				ms, call.number("target-ms"), left, upstreamCounts(call), max(call.number("ahead"), 0)) + retryHint
		}
		return fmt.Sprintf("the expected wait was longer than the %d ms given; %s, and %d calls waited before it",
			left, upstreamCounts(call), max(call.number("ahead"), 0)) + retryHint
	case htcall.ReasonNoMemory:
		return "the bodies of other calls took the memory that the host has for them, or its body was larger" + retryHint
	case htcall.ReasonNoUpstream:
		return "no upstream is usable; " + upstreamCounts(call) + retryHint
	case htcall.ReasonColdLimit:
		return "only cold upstreams are left and they have reached their request limit; " + upstreamCounts(call) + retryHint
	case htcall.ReasonRefused, htcall.ReasonConnect:
		return fmt.Sprintf("none of the %d upstreams that were tried accepted it (%s)%s", call.number("sends"), h.sendFailures(), retryHint)
	case htcall.ReasonQuarantined:
		return fmt.Sprintf("the same request (fingerprint %s) has crashed two upstreams or more, %d of them in these logs", call.Fields["fingerprint"], h.count("crash-counted"))
	case htcall.ReasonOverShare:
		return fmt.Sprintf("account %s used %d%% of its usual load of %s on all hosts, and the demand of class %s left room for %d%% (as known %d ms before)",
			accountName(call), call.number("use"), call.Fields["service"], call.Fields["class"], call.number("share"), call.number("picture-age-ms")) + retryHint
	case htcall.ReasonUnauthorized:
		if account := call.Fields["account"]; account != "" {
			if call.number("status") == http.StatusUnauthorized {
				retryHint = ""
			}
			return fmt.Sprintf("its key was taken away from account %s while it waited", account) + retryHint
		}
		return "it named no key of an account in the configuration in force"
	case htcall.ReasonUsageLimit:
		return fmt.Sprintf("account %s was beyond its limit of %s requests a second with a burst of %s; this host admitted %d%% of its calls, by %s",
			call.Fields["account"], call.Fields["limit-per-s"], call.Fields["limit-burst"], call.number("share"), usageNews(call)) + retryHint
	case htcall.ReasonNotReady:
		return "the host had no configuration yet"
	case htcall.ReasonStopping:
		return "the host was stopping and would probably have cut it before its answer" + retryHint
	case htcall.ReasonUnknownService:
		return fmt.Sprintf("no route for %s%s in the configuration in force", call.Fields["host-name"], call.Fields["uri"])
	}
	return string(reason) + retryHint
}

// accountName returns the name of the account of a call.
func accountName(call *Line) string {
	if name := call.Fields["account"]; name != "" {
		return name
	}
	return "(none)"
}

func (h *History) unknownCause(call *Line, reason htcall.Reason) string {
	upstream := call.Fields[fieldUpstream]
	switch reason {
	case htcall.ReasonBroken:
		if h.wentDown(upstream, call.Time) {
			return fmt.Sprintf("upstream %s went down while it ran the request (%s)%s", upstream, h.sendFailures(), h.noRetryReason())
		}
		return fmt.Sprintf("upstream %s stayed up, but its answer was lost or invalid (%s)%s", upstream, h.sendFailures(), h.noRetryReason())
	case htcall.ReasonDeadline:
		return h.lateCause(call) + h.noRetryReason()
	case htcall.ReasonFalsePromise:
		return fmt.Sprintf("upstream %s answered with a status that promises that the request has not run, but did not say that it had refused it", upstream)
	case htcall.ReasonCanceled:
		return fmt.Sprintf("the caller canceled the request after %d ms", call.number("ms"))
	}
	return string(reason)
}

// doneCause returns the cause for a request that got an upstream's answer.
func (h *History) doneCause(call *Line) string {
	ms, target := call.number("ms"), call.number("target-ms")
	switch {
	case call.number("status") >= 500:
		return fmt.Sprintf("upstream %s answered with status %d of its own%s", call.Fields[fieldUpstream], call.number("status"), h.noRetryReason())
	case ms <= target:
		return fmt.Sprintf("answered on time, in %d ms of %d ms", ms, target)
	}
	return "answered late: " + h.lateCause(call)
}

// lateCause says what took most of the time of a request.
func (h *History) lateCause(call *Line) string {
	ms, left := call.number("ms"), call.number("left-ms")
	expected, waited := call.number("expected-ms"), call.number("waited-ms")
	upstream := call.Fields[fieldUpstream]
	estimate := fmt.Sprintf("%d ms expected at speed %s%% by a report %d ms old", expected, call.Fields["speed"], call.number("age-ms"))
	switch {
	case float64(waited) >= dominantWaitRatio*float64(ms):
		return fmt.Sprintf("it waited %d ms of %d ms for a free upstream", waited, ms)
	case float64(expected) >= tightDeadlineRatio*float64(left):
		return fmt.Sprintf("%d ms were given, and %s", left, estimate)
	case h.wentDown(upstream, call.Time):
		return fmt.Sprintf("upstream %s went down or silent while it ran the request", upstream)
	case call.number("sends") > 1:
		return fmt.Sprintf("%d ms, with %d sends (%s); the last one to %s, %s", ms, call.number("sends"), h.sendFailures(), upstream, estimate)
	}
	return fmt.Sprintf("%d ms at %s, which became slow or silent after the choice: %s", ms, upstream, estimate)
}

// wentDown reports whether a host logged the upstream as down between the start of the
// request and downReportDelay after the given time.
func (h *History) wentDown(upstream string, at time.Time) bool {
	return slices.ContainsFunc(h.Nearby, func(l Line) bool {
		down := l.Event == "upstream-down" || (l.Event == "upstream-state" && l.Fields["after"] == "down")
		return down && l.Fields[fieldUpstream] == upstream && l.Time.After(h.Start) && l.Time.Before(at.Add(downReportDelay))
	})
}

// sendFailures lists the causes and errors of the request's failed sends.
func (h *History) sendFailures() string {
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

// noRetryReason says why the request was not retried. It is empty if the log has no
// reason.
func (h *History) noRetryReason() string {
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

// usageNews describes the news by which a host limited an account.
func usageNews(call *Line) string {
	if age := call.number("age-ms"); age >= 0 {
		return fmt.Sprintf("news of the other hosts %d ms old", age)
	}
	return "its own count only"
}
