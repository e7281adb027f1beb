package htonce

import (
	"time"

	"hawthornturn/core/htcall"
)

// KeyRules are the limits within which a key without a record may run.
type KeyRules struct {
	Fence        time.Time // keys made at or before it may have run at an earlier owner
	Retention    time.Duration
	MaxClockSkew time.Duration // greatest difference between the wall clocks of two entry hosts
}

// Check says whether a key without a record may run at now. The outcome is empty
// if it may. Only wall times are compared, because keys carry them.
//
// A key made in the future is answered with unknown and not with not-run: it would
// become valid later, and a new owner without memory does not fence it, so nobody
// can promise that it never runs.
func (r KeyRules) Check(now time.Time, key string) (htcall.Outcome, htcall.Reason) {
	now = now.Round(0)
	made, ok := htcall.KeyTime(key)
	switch {
	case !ok:
		return htcall.NotRun, htcall.ReasonKeyInvalid
	case made.After(now.Add(r.MaxClockSkew)):
		return htcall.Unknown, htcall.ReasonKeyInvalid
	case !made.After(now.Add(r.MaxClockSkew - r.Retention)):
		return htcall.Unknown, htcall.ReasonKeyExpired
	case !made.After(r.Fence):
		return htcall.Unknown, htcall.ReasonFenced
	default:
		return "", htcall.ReasonNone
	}
}
