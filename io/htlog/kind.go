package htlog

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Names of the fields that determine the kind of a line.
const (
	FieldEvent   = "event"
	FieldOutcome = "outcome"
	FieldCause   = "cause"
)

// routineKinds are the kinds that a host writes for every successful call. They are
// dropped first.
var routineKinds = map[string]bool{"call/done": true, "send/first": true}

// unnamed is the kind of lines without an event.
const unnamed = "unnamed"

// kindOf returns the event of a line, followed by its outcome or cause if it has one. Their
// values are constants in the code, so that the number of kinds is bounded.
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
