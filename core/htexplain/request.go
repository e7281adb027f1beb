package htexplain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// aroundUpstream is the time before and after a request in which changes of its
	// upstreams are told. Faults are forgotten with a time constant of 3 s.
	aroundUpstream = 3 * time.Second
	// aroundHost is the same for what its host has lost or regained.
	aroundHost = 5 * time.Second
	// aroundCatalog is the same for changes of what is declared, which come in series.
	aroundCatalog = 500 * time.Millisecond
	// aroundCrash is how long the crashes of a request are remembered by hosts.
	aroundCrash = 10 * time.Minute
	// maxAround bounds the lines around a request; the nearest are told.
	maxAround = 30
)

// upstreamEvents tell of an upstream, whichever host saw it.
var upstreamEvents = []string{"upstream-state", "upstream-down", "upstream-fault"}

// hostEvents tell what a host has lost, regained or taken over.
var hostEvents = []string{
	"host-started", "host-stopping", "host-stopped", "calls-cut", "ready-changed", "store-lost", "store-regained",
	"config-applied", "config-refused", "catalog-changed", "lines-dropped",
}

// History is what the logs tell of one request.
type History struct {
	Request      string
	Host         string
	Start        time.Time // when the request had been read
	Steps        []Line
	Nearby       []Line // changes that may have to do with it
	Omitted      int    // lines around it that were left out
	Cause        string
	DroppedLines int64 // log lines that its host dropped around that time
}

// NotFoundError means that no line names the request.
type NotFoundError struct {
	Request string
	Lines   int // that were read
	Sources int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("request %q is in none of %d lines of %d logs", e.Request, e.Lines, e.Sources)
}

// RequestHistory collects what the sources tell of a request.
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
	byTime(h.Steps)
	h.Host = h.Steps[0].Host
	h.Start = h.Steps[0].Time
	if call := h.call(); call != nil {
		h.Start = call.Time.Add(-time.Duration(max(call.number("ms"), 0)) * time.Millisecond)
	}
	if err := h.lookAround(sources); err != nil {
		return nil, err
	}
	h.Cause = h.cause()
	return h, nil
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// call returns the last line of the request, or nil if there is none.
func (h *History) call() *Line {
	for i := range h.Steps {
		if h.Steps[i].Event == "call" {
			return &h.Steps[i]
		}
	}
	return nil
}

// lookAround collects what happened to the host and the upstreams of the request.
func (h *History) lookAround(sources []Source) error {
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
			// What other hosts were told and did not see themselves adds nothing.
			seen := l.Host == h.Host || l.Event == "upstream-down" || l.Fields["seen-by"] == l.Host
			if seen && upstreams[l.Fields[fieldUpstream]] && within(l.Time, aroundUpstream) {
				h.Nearby = append(h.Nearby, l)
			}
		case l.Event == "crash-counted":
			if fingerprint != "" && l.Fields["fingerprint"] == fingerprint && within(l.Time, aroundCrash) {
				h.Nearby = append(h.Nearby, l)
			}
		case l.Event == "catalog-changed" && !within(l.Time, aroundCatalog):
		case l.Host == h.Host && within(l.Time, aroundHost):
			h.Nearby = append(h.Nearby, l)
			if l.Event == "lines-dropped" {
				h.DroppedLines += max(l.number("lines"), 0)
			}
		}
	})
	h.nearest(end)
	return err
}

// nearest keeps the lines around the request that are nearest to its end.
func (h *History) nearest(end time.Time) {
	if len(h.Nearby) > maxAround {
		slices.SortStableFunc(h.Nearby, func(a, b Line) int {
			return cmp.Compare(a.Time.Sub(end).Abs(), b.Time.Sub(end).Abs())
		})
		h.Omitted = len(h.Nearby) - maxAround
		h.Nearby = h.Nearby[:maxAround]
	}
	byTime(h.Nearby)
}
