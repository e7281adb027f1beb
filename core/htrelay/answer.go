package htrelay

import (
	"net/http"

	"hawthornturn/core/htcall"
)

// promisesNotRun reports whether callers take a status for the promise that the request has not
// run and never will, and send it again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// answerFor returns the answer to the caller of a call to which an upstream has replied. The
// upstream's answer is passed on as it is, unless its status would promise that a call which is
// not idempotent has not run: only a Refused says that.
func answerFor(call *Call, reply Answered) *Answer {
	if !call.Route.Idempotent && promisesNotRun(reply.Status) {
		return unknownAnswer(htcall.ReasonFalsePromise)
	}
	return &Answer{Outcome: htcall.Done, Status: reply.Status, Header: reply.Header, Body: reply.Body}
}
