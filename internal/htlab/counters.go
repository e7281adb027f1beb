package htlab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// counters maps the names of the counters that a load can require to be 0, which are
// the names of their JSON fields, to functions that return them.
var counters = map[string]func(Result) int{
	"not-run":           callCounter(func(c Counts) int { return c.NotRun }),
	"unknown":           callCounter(func(c Counts) int { return c.Unknown }),
	"untold":            callCounter(func(c Counts) int { return c.NoOutcome }),
	"late":              callCounter(func(c Counts) int { return c.Late }),
	"cut":               callCounter(func(c Counts) int { return c.Cut }),
	"no-conn":           callCounter(func(c Counts) int { return c.NoConn }),
	"failed":            callCounter(func(c Counts) int { return c.Failed }),
	"resent":            callCounter(func(c Counts) int { return c.Resent }),
	"unread":            recordCounter(func(c RecordCheck) int { return len(c.Unread) }),
	"over-slots":        recordCounter(func(c RecordCheck) int { return c.OverSlots }),
	"over-cold-limit":   recordCounter(func(c RecordCheck) int { return c.OverColdLimit }),
	"received-draining": recordCounter(func(c RecordCheck) int { return c.ReceivedDraining }),
	"probe-overrun":     recordCounter(func(c RecordCheck) int { return c.ProbeOverrun }),
	"probes":            recordCounter(func(c RecordCheck) int { return c.Probes }),
}

func callCounter(counter func(Counts) int) func(Result) int {
	return func(r Result) int { return r.Total(counter) }
}

// notChecked is the value of a record counter if no records were compared. It is not
// 0, so that a load without upstreams does not pass a requirement on their records.
const notChecked = -1

func recordCounter(counter func(RecordCheck) int) func(Result) int {
	return func(r Result) int {
		if r.Check == nil {
			return notChecked
		}
		return counter(*r.Check)
	}
}

// ValidateCounters returns an error if any of names is not the name of a counter.
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
			found = append(found, n+" was not checked: no upstreams given")
		default:
			found = append(found, fmt.Sprintf("%s is %d, not 0", n, value))
		}
	}
	return found
}
