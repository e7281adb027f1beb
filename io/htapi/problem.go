package htapi

import (
	"context"
	"errors"
	"net/http"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htfinding"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/httable"
)

// Problem is the body of an error response.
type Problem struct {
	Status   int            `json:"status" cbor:"status"`
	Message  string         `json:"message" cbor:"message"`
	Findings htfinding.List `json:"findings,omitempty" cbor:"findings,omitempty"`
	// Current is set when the status is 409. It is the current version of the resource,
	// 0 if the resource does not exist, or the current revision of the whole set.
	Current uint64 `json:"current" cbor:"current"`
}

// Error implements error.
func (p *Problem) Error() string {
	if len(p.Findings) > 0 {
		return p.Message + "\n" + p.Findings.Error()
	}
	return p.Message
}

// problemFromError returns the body and status of the error response for err.
func problemFromError(err error) *Problem {
	var problem *Problem
	var findings htfinding.List
	var conflict *htconfig.ConflictError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &findings):
		return &Problem{Status: http.StatusUnprocessableEntity, Message: "invalid input", Findings: findings.Sorted()}
	case errors.As(err, &conflict):
		return &Problem{Status: http.StatusConflict, Message: conflict.Error(), Current: conflict.Current}
	case errors.Is(err, htmemory.ErrNoMemory):
		return &Problem{Status: http.StatusServiceUnavailable, Message: "no memory is left for the body; nothing was changed"}
	case errors.As(err, &tooLarge), errors.Is(err, htmemory.ErrTooLarge):
		return &Problem{Status: http.StatusRequestEntityTooLarge, Message: "the body is too large"}
	case errors.Is(err, htconfig.ErrNotFound):
		return &Problem{Status: http.StatusNotFound, Message: err.Error()}
	case errors.Is(err, httable.ErrResultUnknown):
		// Precedes ErrUnavailable: an unknown result whose read-back failed matches both.
		return &Problem{
			Status:  http.StatusServiceUnavailable,
			Message: "the table service did not confirm the change; it may have been accepted; resend the same change to find out",
		}
	case errors.Is(err, httable.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return &Problem{
			Status:  http.StatusServiceUnavailable,
			Message: "the table service is unavailable; nothing was changed; the configuration in force stays: " + err.Error(),
		}
	}
	return &Problem{Status: http.StatusInternalServerError, Message: err.Error()}
}
