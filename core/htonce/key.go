package htonce

import (
	"time"

	"hawthornturn/core/htcall"
)

// KeyRules determine whether a key without a record may run.
type KeyRules struct {
	Fence        time.Time // keys created at or before it may have run at an earlier owner
	Retention    time.Duration
	MaxClockSkew time.Duration // bound on the difference between the wall clocks of two entry hosts
}

// Check reports whether a key without a record may run at now. It returns an empty
// outcome if so, otherwise the outcome and reason of the call. It compares wall times,
// because keys contain wall times.
//
// A key created in the future gets the outcome unknown instead of not-run: it becomes
// valid later, and a new owner without the records does not fence it, so no host can
// guarantee that it never runs.
func (r KeyRules) Check(now time.Time, key string) (htcall.Outcome, htcall.Reason) {
	now = now.Round(0)
	created, ok := htcall.KeyTime(key)
	switch {
	case !ok:
		return htcall.NotRun, htcall.ReasonKeyInvalid
	case created.After(now.Add(r.MaxClockSkew)):
		return htcall.Unknown, htcall.ReasonKeyInvalid
	case !created.After(now.Add(r.MaxClockSkew - r.Retention)):
		return htcall.Unknown, htcall.ReasonKeyExpired
	case !created.After(r.Fence):
		return htcall.Unknown, htcall.ReasonFenced
	default:
		return "", htcall.ReasonNone
	}
}
