package htentry

import (
	"time"

	"hawthornturn/core/htcatalog"
)

// watchListAge is how long a list of the watched upstreams is used. It changes with the
// running hosts, which change rarely.
const watchListAge = 200 * time.Millisecond

// watchList is the list of upstreams that this host probes.
type watchList struct {
	made    time.Time
	catalog *htcatalog.Catalog
	list    []htcatalog.Upstream
	refs    map[htcatalog.Ref]bool
}

// watched lists the upstreams that this host probes: those of its failure domain for
// which it is first in rank, and others only if no host runs there.
func (e *Entry) watched(now time.Time) []htcatalog.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watchList(now).list
}

// watches reports whether this host probes the upstream.
func (e *Entry) watches(ref htcatalog.Ref) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watchList(e.timers.Now()).refs[ref]
}

// watchList returns the list in use, or makes a new one. The caller holds e.mu.
func (e *Entry) watchList(now time.Time) *watchList {
	catalog := e.Catalog()
	if w := e.watch; w != nil && w.catalog == catalog && now.Sub(w.made) < watchListAge {
		return w
	}
	w := &watchList{made: now, catalog: catalog, refs: map[htcatalog.Ref]bool{}}
	first := e.group.First(now)
	for _, u := range catalog.Upstreams {
		ref := u.Ref()
		if catalog.Service(u.Service) != nil && first(uint64(ref), u.Domain) {
			w.list = append(w.list, u)
			w.refs[ref] = true
		}
	}
	e.watch = w
	return w
}
