package htonce

import "hawthornturn/core/htcall"

// Decision is what a call must do, as decided by the owner of its key. Its
// implementations are Run, Wait, Replay and OutcomeOnly.
type Decision interface {
	decision()
}

// Run means that the call is the first with its key. The caller of Begin dispatches it
// once and reports the result to Finish.
type Run struct{}

// Wait means that an earlier call with the key is still running. Its result is the
// Decision that Finish returns for that call.
type Wait struct{}

// Replay means that the request is done and its stored response is returned.
type Replay struct {
	Response []byte
}

// OutcomeOnly means that the call ends with an outcome and without a stored response.
type OutcomeOnly struct {
	Outcome htcall.Outcome
	Reason  htcall.Reason
}

func (Run) decision()         {}
func (Wait) decision()        {}
func (Replay) decision()      {}
func (OutcomeOnly) decision() {}
