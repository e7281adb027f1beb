package htrollout

import (
	"errors"
	"time"

	"hawthornturn/core/htcatalog"
)

// Limits bound what a bad version may get.
type Limits struct {
	// ExposureShare and ExposureSlack bound the calls that a bad version gets, summed over all
	// hosts: the share of all calls to the service during the roll-out, plus the slack.
	ExposureShare float64
	ExposureSlack float64
	// RollbackTime is the time after the 50th bad answer from which on a bad version gets no
	// calls.
	RollbackTime time.Duration
	// AwaitOrders means that the upstreams of a version that joins others get no calls for a
	// moment, since the row of the order that names the version may arrive after theirs.
	AwaitOrders bool
}

// DefaultLimits are the limits where the settings name none.
func DefaultLimits() Limits {
	return Limits{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}
}

// State is the state of an order as operators see it.
type State string

// The states.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Final reports whether the state is the last one of an order.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Status is the state of a service's newest order, as written for operators.
type Status struct {
	State  State
	Target string
}

// ErrConflict means that the status of a service is not the one that a writer expected.
var ErrConflict = errors.New("status of the roll-out was changed by another writer")

// sameOrder reports whether two declarations are the same order. The version of the row is the
// identity of an order: one that is declared anew, even for the same version, starts anew.
func sameOrder(a, b htcatalog.Rollout) bool {
	return a.Order == b.Order && a.Version == b.Version
}

// sameContent reports whether two declarations differ in the version of their rows only.
func sameContent(a, b htcatalog.Rollout) bool {
	b.Order = a.Order
	return a == b
}
