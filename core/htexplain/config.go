package htexplain

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HostConfigStatus is the status of a configuration on one host according to its log.
type HostConfigStatus struct {
	Host           string
	AppliedVersion int64     // version that was applied last
	AppliedAt      time.Time // when the configuration or a newer one was applied; zero if it was not
	RefusalError   string    // why the configuration was refused; empty if it was not
	StoreLost      bool      // the last line about the store since the host started says that it is lost
	LastLine       time.Time // time of the last line of the host
}

// ConfigStatus returns the status of a configuration version on each host, sorted by
// host name.
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
		h.update(&l, version)
	})
	list := make([]HostConfigStatus, 0, len(hosts))
	for h := range maps.Values(hosts) {
		list = append(list, *h)
	}
	slices.SortFunc(list, func(a, b HostConfigStatus) int { return cmp.Compare(a.Host, b.Host) })
	return list, err
}

// update updates the status with a line of the host's log. A start of the host resets
// it.
func (h *HostConfigStatus) update(l *Line, version int64) {
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
