package htselect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceDump is the state of a service on this host.
type ServiceDump struct {
	Name         string  `json:"name"`
	Census       Census  `json:"census"`
	Cold         int     `json:"cold"`           // cold upstreams
	ColdMayPerS  int     `json:"cold-may-per-s"` // calls a second that this host may send to them
	RepeatTokens float64 `json:"repeat-tokens"`  // further sends that the budget allows now
	Crowding     float64 `json:"crowding"`       // how much slower crowded upstreams work
}

// DumpServices lists the services by name.
func (s *Selector) DumpServices(now time.Time) []ServiceDump {
	list := make([]ServiceDump, 0, len(s.services))
	for name, sv := range s.services {
		d := ServiceDump{
			Name:         name,
			Census:       s.Census(now, name, nil),
			RepeatTokens: sv.budget.tokens,
			Crowding:     sv.crowding,
		}
		for _, u := range sv.upstreams {
			if !u.cold(now) {
				continue
			}
			d.Cold++
			if s.group.RankAll(xxhash.Sum64String(u.declared.ID)) < coldSenders(sv.declared) {
				d.ColdMayPerS++
			}
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b ServiceDump) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
