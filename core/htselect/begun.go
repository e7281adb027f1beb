package htselect

import (
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// givenWeight is the weight of the newest call in the time that callers usually give,
	// and returnWeight that of a caller who seems to come back. The usual time falls slowly,
	// in case that callers give less from now on.
	givenWeight  = 0.02
	returnWeight = givenWeight / 4
	// returnShare of the usual time is left at most to a caller that comes back. The time
	// that callers of the users' sites give differs by a fifth.
	returnShare = 0.75
)

// FirstAttempt estimates when a caller that gives a call so much time began to try. Callers that
// come back after a refusal have less time left than others on the same route, and their
// answer will be late. It answers the load of an overload, in which they are many.
func (s *Selector) FirstAttempt(now time.Time, r *htcatalog.Route, given time.Duration) time.Time {
	state := s.route(r)
	switch {
	case given <= 0: // the caller did not say
		return now
	case state.given == 0:
		state.given = float64(given)
	case float64(given) < returnShare*state.given:
		state.given -= returnWeight * (state.given - float64(given))
		return now.Add(given - time.Duration(state.given))
	}
	state.given += givenWeight * (float64(given) - state.given)
	return now
}
