package htrelay

import "hawthornturn/core/htcatalog"

// Short reports whether a service that a route goes to is short of upstreams: calls wait for one, or
// it is overloaded.
func (r *Relay) Short(route *htcatalog.Route) bool {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range route.Parts {
		if q := r.queues[part.Service]; q != nil && (len(q.waiters) > 0 || q.pressure.overloaded(now)) {
			return true
		}
	}
	return false
}
