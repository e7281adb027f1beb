package htexplain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// upstreamMargin is the time before and after a request within which changes of its
	// upstreams are included. It equals the time constant, 3 s, with which faults of an
	// upstream lose weight in the hosts' choice of upstreams.
	upstreamMargin = 3 * time.Second
	// hostMargin is the same for events of its host.
	hostMargin = 5 * time.Second
	// catalogMargin is the same for changes of the declared resources. It is short because
	// they come in series.
	catalogMargin = 500 * time.Millisecond
	// crashMargin is the same for crashes that were counted for the request. It is the time
	// for which hosts count a crash.
	crashMargin = 10 * time.Minute
	// maxNearby bounds the number of lines around a request. The nearest in time are kept.
	maxNearby = 30
)

// upstreamEvents are the events about an upstream, which any host may log.
var upstreamEvents = []string{"upstream-state", "upstream-down", "upstream-fault"}

// hostEvents are the events about the state of a host and what it has lost, regained or
// applied.
var hostEvents = []string{
	"host-started", "host-stopping", "host-stopped", "calls-cut", "ready-changed", "store-lost", "store-regained",
	"config-applied", "config-refused", "catalog-changed", "lines-dropped",
}

// History is what the logs contain about one request.
type History struct {
	Request      string
	Host         string
	Start        time.Time // when the host had read the request
	Steps        []Line
	Nearby       []Line // changes that may be related to it
	Omitted      int    // number of lines around it that were left out
	Cause        string
	DroppedLines int64 // number of log lines that its host dropped around that time
}

// NotFoundError means that no log line contains the request ID.
type NotFoundError struct {
	Request string
	Lines   int // number of lines that were read
	Sources int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("request %q is in none of %d lines of %d logs", e.Request, e.Lines, e.Sources)
}

// RequestHistory collects the log lines of a request and of changes around it from the
// sources, and determines the cause of its outcome. It returns a NotFoundError if no line
// names the request.
func RequestHistory(sources []Source, id string) (*History, error) {
	h := &History{Request: id}
	lines, err := scan(sources, []string{id}, func(l Line) {
		if l.Fields[fieldRequest] == id {
			h.Steps = append(h.Steps, l)
		}
	})
	if err != nil {
		return nil, err
	}
	if len(h.Steps) == 0 {
		return nil, &NotFoundError{Request: id, Lines: lines, Sources: len(sources)}
	}
	sortByTime(h.Steps)
	h.Host = h.Steps[0].Host
	h.Start = h.Steps[0].Time
	if callLine := h.callLine(); callLine != nil {
		h.Start = callLine.Time.Add(-time.Duration(max(callLine.number("ms"), 0)) * time.Millisecond)
	}
	if err := h.collectNearby(sources); err != nil {
		return nil, err
	}
	h.Cause = h.cause()
	return h, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// callLine returns the call line of the request, which is its last, or nil if there is
// none.
func (h *History) callLine() *Line {
	for i := range h.Steps {
		if h.Steps[i].Event == "call" {
			return &h.Steps[i]
		}
	}
	return nil
}

// collectNearby collects the lines about the host and the upstreams of the request from
// the time around it.
func (h *History) collectNearby(sources []Source) error {
	upstreams, fingerprint := map[string]bool{}, ""
	for _, l := range h.Steps {
		if id := l.Fields[fieldUpstream]; id != "" {
			upstreams[id] = true
		}
		if f := l.Fields["fingerprint"]; f != "" {
			fingerprint = f
		}
	}
	end := h.Steps[len(h.Steps)-1].Time
	within := func(t time.Time, margin time.Duration) bool {
		return !t.Before(h.Start.Add(-margin)) && !t.After(end.Add(margin))
	}
	events := append([]string{"crash-counted"}, upstreamEvents...)
	events = append(events, hostEvents...)
	_, err := scan(sources, events, func(l Line) {
		switch {
		case slices.Contains(upstreamEvents, l.Event):
			// States that other hosts received and did not observe themselves add no
			// information.
			seen := l.Host == h.Host || l.Event == "upstream-down" || l.Fields["seen-by"] == l.Host
			if seen && upstreams[l.Fields[fieldUpstream]] && within(l.Time, upstreamMargin) {
				h.Nearby = append(h.Nearby, l)
			}
		case l.Event == "crash-counted":
			if fingerprint != "" && l.Fields["fingerprint"] == fingerprint && within(l.Time, crashMargin) {
				h.Nearby = append(h.Nearby, l)
			}
		case l.Event == "catalog-changed" && !within(l.Time, catalogMargin):
		case l.Host == h.Host && within(l.Time, hostMargin):
			h.Nearby = append(h.Nearby, l)
			if l.Event == "lines-dropped" {
				h.DroppedLines += max(l.number("lines"), 0)
			}
		}
	})
	h.keepNearest(end)
	return err
}

// keepNearest keeps the maxNearby lines that are nearest in time to the end of the
// request, sorted by time.
func (h *History) keepNearest(end time.Time) {
	if len(h.Nearby) > maxNearby {
		slices.SortStableFunc(h.Nearby, func(a, b Line) int {
			return cmp.Compare(a.Time.Sub(end).Abs(), b.Time.Sub(end).Abs())
		})
		h.Omitted = len(h.Nearby) - maxNearby
		h.Nearby = h.Nearby[:maxNearby]
	}
	sortByTime(h.Nearby)
}
