package htselect

import (
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// timeoutWeight is the weight of the newest call in the average timeout of callers, and
	// retryTimeoutWeight that of a caller that appears to retry. Such callers lower the
	// average as well, in case all callers send shorter timeouts from now on, but slowly,
	// because a retry has only the rest of the usual timeout left.
	timeoutWeight      = 0.02
	retryTimeoutWeight = timeoutWeight / 4
	// retryTimeoutShare is the largest fraction of the usual timeout that a retrying caller
	// has left. On the platform, the timeouts of callers differ by a fifth.
	retryTimeoutShare = 0.75
)

// FirstAttempt estimates when a caller with this timeout first attempted the call. It
// returns now unless the timeout is clearly shorter than usual: callers that retry after a
// refusal have less time left than others on the same route, and their answers will be
// late. The estimate matters in an overload, when many callers retry.
func (s *Selector) FirstAttempt(now time.Time, r *htcatalog.Route, timeout time.Duration) time.Time {
	state := s.route(r)
	switch {
	case timeout <= 0: // the caller sent no timeout
		return now
	case state.usualTimeout == 0:
		state.usualTimeout = float64(timeout)
	case float64(timeout) < retryTimeoutShare*state.usualTimeout:
		state.usualTimeout -= retryTimeoutWeight * (state.usualTimeout - float64(timeout))
		return now.Add(timeout - time.Duration(state.usualTimeout))
	}
	state.usualTimeout += timeoutWeight * (float64(timeout) - state.usualTimeout)
	return now
}
