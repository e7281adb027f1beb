package main

import (
	"errors"
	"fmt"
	"net/http"

	"hawthornturn/core/htfinding"
	"hawthornturn/io/htapi"
)

// Exit codes.
const (
	exitOK           = 0
	exitFailure      = 1
	exitUsage        = 2
	exitInvalid      = 3 // settings, declarations or a change have findings
	exitConflict     = 4 // the declared state is not at the expected revision
	exitNotInForce   = 5 // the revision was not in force within the timeout
	outputPrefix     = "hawthornturn: "
	notInForceFormat = "revision %d is not in force after %v"
)

// usageError is an error in the command line.
type usageError struct{ err error }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Errorf(outputPrefix+format, args...)}
}

// Error implements error.
func (u *usageError) Error() string { return u.err.Error() }

// notInForceError means that a revision was not in force within the timeout.
type notInForceError struct{ err error }

// Error implements error.
func (n *notInForceError) Error() string { return n.err.Error() }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage *usageError
	var findings htfinding.List
	var notInForce *notInForceError
	var problem *htapi.Problem
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &findings):
		return exitInvalid
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &problem) && problem.Status == http.StatusUnprocessableEntity:
		return exitInvalid
	case errors.As(err, &problem) && problem.Status == http.StatusConflict:
		return exitConflict
	}
	return exitFailure
}
