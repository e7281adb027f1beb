package htonce

import "hawthornturn/core/htcall"

// Decision is what the owner of a key says to a call: Run, Wait, Replay or Answer.
type Decision interface {
	decision()
}

// Run means that the call is the first with its key. The caller of Begin dispatches
// it once and reports the end with Finish.
type Run struct{}

// Wait means that an earlier call with the key is still running. The result is the
// one that Finish returns.
type Wait struct{}

// Replay means that the request is done and carries the stored answer.
type Replay struct {
	Response []byte
}

// OutcomeOnly means that the call ends here with an outcome and no stored answer.
type OutcomeOnly struct {
	Outcome htcall.Outcome
	Reason  htcall.Reason
}

func (Run) decision()         {}
func (Wait) decision()        {}
func (Replay) decision()      {}
func (OutcomeOnly) decision() {}
