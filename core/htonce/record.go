package htonce

import "hawthornturn/core/htcall"

// State is the state of a key record.
type State string

// The states of a record.
const (
	Pending State = "pending"
	Done    State = "done"
	NotRun  State = "not-run"
	Unknown State = "unknown"
)

// record is what an owner remembers of a key.
type record struct {
	Service     string        `cbor:"service"`
	Key         string        `cbor:"key"`
	Fingerprint string        `cbor:"fingerprint"` // method, URI and caller
	Arrived     int64         `cbor:"arrived"`     // wall time in milliseconds
	State       State         `cbor:"state"`
	Reason      htcall.Reason `cbor:"reason,omitempty"`
	Answer      []byte        `cbor:"answer"`                // nil when not stored
	HandedOver  bool          `cbor:"handed-over,omitempty"` // was pending at an earlier owner, which reports its end
}

// repeat decides on a further call with the key.
func (r *record) repeat(fingerprint string) Decision {
	switch {
	case r.Fingerprint != fingerprint:
		return OutcomeOnly{Outcome: htcall.NotRun, Reason: htcall.ReasonKeyReused}
	case r.State == Pending:
		return Wait{}
	default:
		return r.result()
	}
}

// result is what callers are told about a request that has ended.
func (r *record) result() Decision {
	switch {
	case r.State == Done && r.Answer != nil:
		return Replay{Response: r.Answer}
	case r.State == Done:
		return OutcomeOnly{Outcome: htcall.Done, Reason: htcall.ReasonAnswerNotKept}
	case r.State == NotRun:
		return OutcomeOnly{Outcome: htcall.NotRun, Reason: r.Reason}
	default:
		return OutcomeOnly{Outcome: htcall.Unknown, Reason: r.Reason}
	}
}

func stateOf(outcome htcall.Outcome) State {
	switch outcome {
	case htcall.Done:
		return Done
	case htcall.NotRun:
		return NotRun
	default:
		return Unknown
	}
}
