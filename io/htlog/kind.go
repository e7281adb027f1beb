package htlog

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Names of fields that make up the kind of a line.
const (
	FieldEvent   = "event"
	FieldOutcome = "outcome"
	FieldCause   = "cause"
)

// Kinds that a host writes for every call that goes well. They are dropped first.
var routineKinds = map[string]bool{"call/done": true, "send/first": true}

// unnamed is the kind of lines without an event.
const unnamed = "unnamed"

// kindOf returns the event of a line, with its outcome or cause. Their values are
// constants of the code, so that the number of kinds is bounded.
func kindOf(entry *logrus.Entry) string {
	event, ok := entry.Data[FieldEvent]
	if !ok {
		return unnamed
	}
	for _, name := range []string{FieldOutcome, FieldCause} {
		if value, ok := entry.Data[name]; ok {
			return fmt.Sprintf("%v/%v", event, value)
		}
	}
	return fmt.Sprint(event)
}
