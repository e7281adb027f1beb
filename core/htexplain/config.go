package htexplain

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HostConfig is what the log of one host tells of a configuration.
type HostConfig struct {
	Host    string
	Newest  int64     // configuration that was applied last
	Applied time.Time // when the configuration, or a newer one, was applied; zero: not
	Refused string    // why it was refused
	Lost    bool      // the store did not serve the host last
	Silent  time.Time // last line of the host
}

// Config collects on which hosts a configuration is in force, by host.
func Config(sources []Source, version int64) ([]HostConfig, error) {
	hosts := map[string]*HostConfig{}
	_, err := scan(sources, []string{fieldEvent + "="}, func(l Line) {
		h := hosts[l.Host]
		if h == nil {
			h = &HostConfig{Host: l.Host}
			hosts[l.Host] = h
		}
		if l.Time.After(h.Silent) {
			h.Silent = l.Time
		}
		h.take(&l, version)
	})
	list := make([]HostConfig, 0, len(hosts))
	for h := range maps.Values(hosts) {
		list = append(list, *h)
	}
	slices.SortFunc(list, func(a, b HostConfig) int { return cmp.Compare(a.Host, b.Host) })
	return list, err
}

// take takes in a line of the host.
func (h *HostConfig) take(l *Line, version int64) {
	switch l.Event {
	case "host-started":
		h.Newest, h.Applied, h.Refused, h.Lost = 0, time.Time{}, "", false
	case "config-applied":
		h.Newest = l.number("version")
		if h.Newest >= version && h.Applied.IsZero() {
			h.Applied = l.Time
		}
	case "config-refused":
		if l.number("version") == version {
			h.Refused = l.Fields["error"]
		}
	case "store-lost":
		h.Lost = true
	case "store-regained":
		h.Lost = false
	}
}
