package htlab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// counters are the counters of a result that a load can require to be 0, by the
// names of their JSON fields.
var counters = map[string]func(Result) int{
	"not-run":           total(func(c Counts) int { return c.NotRun }),
	"unknown":           total(func(c Counts) int { return c.Unknown }),
	"untold":            total(func(c Counts) int { return c.NoOutcome }),
	"late":              total(func(c Counts) int { return c.Late }),
	"cut":               total(func(c Counts) int { return c.Cut }),
	"no-conn":           total(func(c Counts) int { return c.NoConn }),
	"failed":            total(func(c Counts) int { return c.Failed }),
	"resent":            total(func(c Counts) int { return c.Resent }),
	"unread":            checked(func(c RecordCheck) int { return len(c.Unread) }),
	"over-slots":        checked(func(c RecordCheck) int { return c.OverSlots }),
	"over-cold-limit":   checked(func(c RecordCheck) int { return c.OverColdLimit }),
	"received-draining": checked(func(c RecordCheck) int { return c.ReceivedDraining }),
	"probe-overrun":     checked(func(c RecordCheck) int { return c.ProbeOverrun }),
	"probes":            checked(func(c RecordCheck) int { return c.Probes }),
}

func total(counter func(Counts) int) func(Result) int {
	return func(r Result) int { return r.Total(counter) }
}

// notChecked is the value of a counter of the check if there was none. It is not 0,
// so that a load without upstreams cannot meet a requirement on their records.
const notChecked = -1

func checked(counter func(RecordCheck) int) func(Result) int {
	return func(r Result) int {
		if r.Check == nil {
			return notChecked
		}
		return counter(*r.Check)
	}
}

// ValidateCounters returns an error if one of names is not the name of a counter.
func ValidateCounters(names []string) error {
	for _, n := range names {
		if counters[n] == nil {
			known := slices.Sorted(maps.Keys(counters))
			return fmt.Errorf("load: unknown counter %q; known are %s", n, strings.Join(known, ", "))
		}
	}
	return nil
}

// Nonzero returns the named counters that are not 0, with their values.
func (r Result) Nonzero(names []string) []string {
	var found []string
	for _, n := range names {
		switch value := counters[n](r); value {
		case 0:
		case notChecked:
			found = append(found, n+" was not checked: no upstreams named")
		default:
			found = append(found, fmt.Sprintf("%s is %d, not 0", n, value))
		}
	}
	return found
}
