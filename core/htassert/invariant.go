package htassert

import (
	"expvar"
	"fmt"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// ID names an invariant. The names appear in the expvar map
// invariant-violations, in log lines and in the fault matrix.
type ID string

// The invariants of section 1.1 of docs/design.md.
const (
	ProbeBudget      ID = "probe-budget"
	ColdLimit        ID = "cold-limit"
	DomainOut        ID = "domain-out"
	WholeAnswer      ID = "whole-answer"
	NotRun           ID = "not-run"
	AtMostOnce       ID = "at-most-once"
	UpstreamLeaving  ID = "upstream-leaving"
	PlannedStop      ID = "planned-stop"
	ConfigMonotonic  ID = "config-monotonic"
	SlotLimit        ID = "slot-limit"
	LeaseHeldAtSend  ID = "lease-held-at-send"
	SingleShardOwner ID = "single-shard-owner"
)

// PanicOnViolation makes the function That panic on a violation. Tests and the soak
// command set it.
var PanicOnViolation atomic.Bool

var violations = expvar.NewMap("invariant-violations")

// That reports a violation of the invariant id if ok is false: it increments the
// violation count and logs an error, and panics if PanicOnViolation is set. The format
// and args describe the state that violates the invariant.
func That(ok bool, id ID, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(string(id), 1)
	detail := fmt.Sprintf(format, args...)
	logrus.WithFields(logrus.Fields{"event": "invariant-violated", "invariant": string(id), "detail": detail}).Error("invariant violated")
	if PanicOnViolation.Load() {
		panic(fmt.Sprintf("invariant %s violated: %s", id, detail))
	}
}

// Violations returns the number of violations of id since the process started.
func Violations(id ID) int64 {
	if v, ok := violations.Get(string(id)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
