package htselect

import (
	"slices"
	"strings"
	"time"
)

// UpstreamDump is the state of an upstream as known to this host.
type UpstreamDump struct {
	ID             string  `json:"id"`
	Service        string  `json:"service"`
	Domain         string  `json:"failure-domain"`
	Version        string  `json:"version"`
	Draining       bool    `json:"draining"`
	Leaving        bool    `json:"leaving"`   // it announced its leaving in an answer
	PausedMS       int64   `json:"paused-ms"` // remaining time for which it has asked for no calls
	Down           bool    `json:"down"`
	Unhealthy      bool    `json:"ill"`
	ColdMS         int64   `json:"cold-ms"`
	WorkTimeFactor float64 `json:"speed"`
	Load           float64 `json:"load"`
	Faults         float64 `json:"faults"`
	AgeMS          int64   `json:"age-ms"`
	InFlight       int     `json:"in-flight"`
}

// Dump lists the upstreams by id.
func (s *Selector) Dump(now time.Time) []UpstreamDump {
	list := make([]UpstreamDump, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		list = append(list, u.dump(now))
	}
	slices.SortFunc(list, func(a, b UpstreamDump) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (u *upstream) dump(now time.Time) UpstreamDump {
	return UpstreamDump{
		ID:             u.declared.ID,
		Service:        u.declared.Service,
		Domain:         u.declared.Domain,
		Version:        u.declared.Version,
		Draining:       u.declared.Draining,
		Leaving:        u.leaving,
		PausedMS:       max(0, u.pausedUntil.Sub(now).Milliseconds()),
		Down:           u.report.Down,
		Unhealthy:      u.report.Unhealthy,
		ColdMS:         max(0, u.coldUntil.Sub(now).Milliseconds()),
		WorkTimeFactor: u.workTimeFactor(now),
		Load:           u.load(now),
		Faults:         u.fault(now),
		AgeMS:          now.Sub(u.reportedAt).Milliseconds(),
		InFlight:       u.inFlight,
	}
}
