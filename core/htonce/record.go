package htonce

import "hawthornturn/core/htcall"

// State is the state of the request that a key record belongs to.
type State string

// States of a record.
const (
	Pending State = "pending"
	Done    State = "done"
	NotRun  State = "not-run"
	Unknown State = "unknown"
)

// keyRecord is the record of an idempotency key at its owner.
type keyRecord struct {
	Service     string        `cbor:"service"`
	Key         string        `cbor:"key"`
	Fingerprint string        `cbor:"fingerprint"` // method, URI and caller
	Arrived     int64         `cbor:"arrived"`     // wall time in milliseconds
	State       State         `cbor:"state"`
	Reason      htcall.Reason `cbor:"reason,omitempty"`
	Response    []byte        `cbor:"answer"`                // nil if not stored
	HandedOver  bool          `cbor:"handed-over,omitempty"` // was pending at an earlier owner, which reports the result
}

// decideRepeat returns the decision for a further call with the same key.
func (r *keyRecord) decideRepeat(fingerprint string) Decision {
	switch {
	case r.Fingerprint != fingerprint:
		return OutcomeOnly{Outcome: htcall.NotRun, Reason: htcall.ReasonKeyReused}
	case r.State == Pending:
		return Wait{}
	default:
		return r.finalDecision()
	}
}

// finalDecision returns the decision for calls of a request that has ended.
func (r *keyRecord) finalDecision() Decision {
	switch {
	case r.State == Done && r.Response != nil:
		return Replay{Response: r.Response}
	case r.State == Done:
		return OutcomeOnly{Outcome: htcall.Done, Reason: htcall.ReasonAnswerNotKept}
	case r.State == NotRun:
		return OutcomeOnly{Outcome: htcall.NotRun, Reason: r.Reason}
	default:
		return OutcomeOnly{Outcome: htcall.Unknown, Reason: r.Reason}
	}
}

func stateFromOutcome(outcome htcall.Outcome) State {
	switch outcome {
	case htcall.Done:
		return Done
	case htcall.NotRun:
		return NotRun
	default:
		return Unknown
	}
}
