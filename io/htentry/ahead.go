package htentry

import (
	"context"
	"fmt"
	"time"

	"hawthornturn/core/htahead"
	"hawthornturn/core/htcatalog"
)

// aheadPollInterval is the time between checks of a stopping host whether the calls that were
// started before their turn have had it.
const aheadPollInterval = 10 * time.Millisecond

// Ahead says what became of a call that was started before the turn of its request.
type Ahead string

// Values of Ahead.
const (
	NotAhead       Ahead = ""
	AheadTaken     Ahead = "taken"     // answered in its turn
	AheadDiscarded Ahead = "discarded" // its caller left, or its connection broke
)

// MayStartAhead decides whether a call is started before its turn, and counts the decision. A
// number of other calls of its connection were started and have not had their turn.
func (e *Entry) MayStartAhead(route *htcatalog.Route, started int) bool {
	refusal := htahead.Decide(htahead.Load{
		Started:         started,
		Stopping:        e.Stopping(),
		MemoryShare:     e.memory.UsedShare(),
		DescriptorShare: e.aheadDescriptorShare(),
		Short:           e.relay.Short(route),
	})
	if refusal != htahead.Allowed {
		e.countAhead("hawthornturn_ahead_refused_total", "because", string(refusal))
		return false
	}
	e.countAhead("hawthornturn_ahead_calls_total", "state", "started")
	return true
}

// aheadDescriptorShare returns the share of the descriptors that the calls take that were started
// before their turn, or 0 if descriptors are not bounded.
func (e *Entry) aheadDescriptorShare() float64 {
	if e.settings.Descriptors == 0 {
		return 0
	}
	return float64(e.pipeline.Started()) / float64(e.settings.Descriptors)
}

func (e *Entry) countAhead(name, label, value string) {
	e.metrics.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value)).Inc()
}

// waitAhead waits until no call that was started before its turn waits for it, or until ctx ends.
// The server closes connections after any answer once its shutdown has begun.
func (e *Entry) waitAhead(ctx context.Context) {
	tick := time.NewTicker(aheadPollInterval)
	defer tick.Stop()
	for e.pipeline.Started() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
