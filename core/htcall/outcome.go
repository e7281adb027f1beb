package htcall

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The three outcomes.
const (
	Done    Outcome = "done"    // the upstream answered
	NotRun  Outcome = "not-run" // the request did not run and, for a call with an idempotency key, never will
	Unknown Outcome = "unknown" // the request may have run
)

// Valid reports whether o is one of the three outcomes.
func (o Outcome) Valid() bool {
	return o == Done || o == NotRun || o == Unknown
}

// Reason is the cause of an outcome other than done. With done it is empty, except for
// ReasonAnswerNotKept. Its text appears in the Hawthornturn-Reason header field, in logs
// and in metrics.
type Reason string

// The reasons, with the outcome they belong to.
const (
	ReasonNone           Reason = ""
	ReasonQueueFull      Reason = "queue-full"       // not-run
	ReasonNoMemory       Reason = "no-memory"        // not-run; the bodies of other calls take the memory of the host
	ReasonDeadline       Reason = "deadline"         // not-run if nothing was sent, else unknown
	ReasonNoUpstream     Reason = "no-upstream"      // not-run
	ReasonDomainOut      Reason = "domain-out"       // not-run
	ReasonQuarantined    Reason = "quarantined"      // not-run
	ReasonMoved          Reason = "moved"            // not-run; the shard has another owner
	ReasonCutOff         Reason = "cut-off"          // not-run; the host holds no valid lease
	ReasonColdLimit      Reason = "cold-limit"       // not-run; only cold upstreams are left
	ReasonRefused        Reason = "refused"          // not-run; the upstream refused the request without starting it
	ReasonConnect        Reason = "connect-failed"   // not-run; no byte was sent
	ReasonBroken         Reason = "broken"           // unknown; the connection failed after sending
	ReasonFalsePromise   Reason = "false-promise"    // unknown; the upstream's status says that the call has not run, but the upstream did not refuse it
	ReasonCanceled       Reason = "canceled"         // unknown or not-run; the caller left
	ReasonOwnerLost      Reason = "owner-lost"       // unknown; the key's owner could not be reached
	ReasonFenced         Reason = "fenced"           // unknown; an earlier owner may have run the key
	ReasonKeyExpired     Reason = "key-expired"      // unknown; the key is older than the retention
	ReasonKeyInvalid     Reason = "key-invalid"      // not-run if not a UUID of version 7, unknown if made in the future
	ReasonKeyReused      Reason = "key-reused"       // not-run; the key belongs to another request
	ReasonAnswerNotKept  Reason = "answer-not-kept"  // done, but the stored answer is gone
	ReasonBadRequest     Reason = "bad-request"      // not-run
	ReasonUnknownService Reason = "unknown-service"  // not-run
	ReasonNotReady       Reason = "not-ready"        // not-run; no configuration yet
	ReasonStopping       Reason = "stopping"         // not-run; the host stops before the call would end
	ReasonUnauthorized   Reason = "unauthorized"     // not-run; the request names no key of an account
	ReasonUsageLimit     Reason = "usage-limit"      // not-run; the account has used up its limit
	ReasonOverShare      Reason = "over-share"       // not-run; other accounts need the room that the account asks for
	ReasonInternal       Reason = "internal-failure" // unknown
)
