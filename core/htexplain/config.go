package htexplain

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HostConfigStatus is what the log of one host tells of a configuration.
type HostConfigStatus struct {
	Host           string
	AppliedVersion int64     // configuration that was applied last
	AppliedAt      time.Time // when the configuration, or a newer one, was applied; zero: not
	RefusalError   string    // why it was refused
	StoreLost      bool      // the store did not serve the host last
	LastLine       time.Time // last line of the host
}

// ConfigStatus collects on which hosts a configuration is in force, by host.
func ConfigStatus(sources []Source, version int64) ([]HostConfigStatus, error) {
	hosts := map[string]*HostConfigStatus{}
	_, err := scan(sources, []string{fieldEvent + "="}, func(l Line) {
		h := hosts[l.Host]
		if h == nil {
			h = &HostConfigStatus{Host: l.Host}
			hosts[l.Host] = h
		}
		if l.Time.After(h.LastLine) {
			h.LastLine = l.Time
		}
		h.take(&l, version)
	})
	list := make([]HostConfigStatus, 0, len(hosts))
	for h := range maps.Values(hosts) {
		list = append(list, *h)
	}
	slices.SortFunc(list, func(a, b HostConfigStatus) int { return cmp.Compare(a.Host, b.Host) })
	return list, err
}

// take takes in a line of the host.
func (h *HostConfigStatus) take(l *Line, version int64) {
	switch l.Event {
	case "host-started":
		h.AppliedVersion, h.AppliedAt, h.RefusalError, h.StoreLost = 0, time.Time{}, "", false
	case "config-applied":
		h.AppliedVersion = l.number("version")
		if h.AppliedVersion >= version && h.AppliedAt.IsZero() {
			h.AppliedAt = l.Time
		}
	case "config-refused":
		if l.number("version") == version {
			h.RefusalError = l.Fields["error"]
		}
	case "store-lost":
		h.StoreLost = true
	case "store-regained":
		h.StoreLost = false
	}
}
