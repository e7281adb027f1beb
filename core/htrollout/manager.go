package htrollout

import (
	"maps"
	"slices"
	"time"

	"hawthornturn/core/htcatalog"
)

// refusedMemory is how long a version whose roll-out did not complete gets no calls after its
// order is gone. Its upstreams drain some seconds after that.
const refusedMemory = 10 * time.Minute

// endedMemory is how long hosts tell each other of the end of an order that is gone, since some
// may have learned of its removal only.
const endedMemory = time.Minute

// restoreWait is how long after the store came back from a copy operators may take to write
// again what it has lost.
const restoreWait = 10 * time.Second

// newVersionWait is how long the upstreams of a version that a service has not had get no calls,
// since their rows may arrive before that of the order which names the version.
const newVersionWait = 2 * time.Second

// Manager holds the roll-outs of all services on one host. It is not safe for concurrent use.
type Manager struct {
	limits   Limits
	self     Process
	rollouts map[string]*Rollout             // by service
	refused  map[string]map[string]time.Time // by service and version: until when
	versions map[string]map[string]time.Time // of declared upstreams, by service: until when they wait
	// restoredUntil is the time until which orders may be missing in the store, or have another
	// version, only because it came back from a copy.
	restoredUntil time.Time
	turn          int                   // of Reports
	ended         map[string]endedOrder // by service
}

// endedOrder is an order that has ended and is gone.
type endedOrder struct {
	report Report
	until  time.Time // hosts tell each other of it
}

// NewManager returns a Manager without orders.
func NewManager(limits Limits, self Process) Manager {
	return Manager{limits: limits, self: self, rollouts: map[string]*Rollout{}, refused: map[string]map[string]time.Time{}, ended: map[string]endedOrder{}}
}

// SetVersions replaces the versions of the declared upstreams, by service. A version that joins
// others waits for an order that may be on its way; after that it is used without one.
func (m *Manager) SetVersions(now time.Time, versions map[string][]string) {
	next := make(map[string]map[string]time.Time, len(versions))
	for service, list := range versions {
		known := m.versions[service]
		next[service] = make(map[string]time.Time, len(list))
		for _, v := range list {
			until, ok := known[v]
			if !ok && len(known) > 0 && m.limits.AwaitOrders {
				until = now.Add(newVersionWait)
			}
			next[service][v] = until
		}
	}
	m.versions = next
}

// waiting reports whether a version of a service waits for an order.
func (m *Manager) waiting(now time.Time, service string) bool {
	for _, until := range m.versions[service] {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// StoreRestored records that the store came back from a copy, and may lack or renumber orders
// until they have been written again.
func (m *Manager) StoreRestored(now time.Time) { m.restoredUntil = now.Add(restoreWait) }

// SetOrders replaces the orders. A roll-out whose order is unchanged goes on. One whose order
// is gone is undone, unless it has completed; one whose order was replaced ends at once, and
// its version gets no calls unless the new order names it. Starting means that this host has just
// started, so that the orders may be older. It returns the new roll-outs.
func (m *Manager) SetOrders(now time.Time, orders []htcatalog.Rollout, starting bool) []*Rollout {
	ordered := map[string]bool{}
	var started []*Rollout
	for _, o := range orders {
		ordered[o.Service] = true
		if known := m.rollouts[o.Service]; known != nil {
			if m.goesOn(now, known, o) {
				continue
			}
			m.refuse(now, known)
		}
		if o.Invalid == "" {
			delete(m.refused[o.Service], o.Version)
		}
		r := New(now, o, m.limits, m.self, starting)
		m.rollouts[o.Service] = r
		started = append(started, r)
	}
	for service, r := range m.rollouts {
		if !ordered[service] {
			r.missing = true
		}
	}
	m.Forget(now)
	return started
}

// goesOn reports whether an order is that of a roll-out, and records it if so.
func (m *Manager) goesOn(now time.Time, r *Rollout, o htcatalog.Rollout) bool {
	restored := now.Before(m.restoredUntil) && sameContent(r.order, o)
	if r.withdrawn || !restored && !sameOrder(r.order, o) {
		return false
	}
	r.order.Order = o.Order
	r.missing = false
	return true
}

// refuse keeps the version of a roll-out that has not completed from getting calls.
func (m *Manager) refuse(now time.Time, r *Rollout) {
	if r.stage == Done || r.order.Invalid != "" {
		return
	}
	service := r.order.Service
	if m.refused[service] == nil {
		m.refused[service] = map[string]time.Time{}
	}
	m.refused[service][r.order.Version] = now.Add(refusedMemory)
}

// Forget ends roll-outs whose orders operators have taken back, and removes those of them whose
// end the store has confirmed.
func (m *Manager) Forget(now time.Time) {
	for service, r := range m.rollouts {
		if r.missing && !now.Before(m.restoredUntil) {
			r.withdrawn = true
		}
		if r.withdrawn && r.stage.Final() {
			m.refuse(now, r)
			m.ended[service] = endedOrder{r.Report(now), now.Add(endedMemory)}
			delete(m.rollouts, service)
		}
	}
	maps.DeleteFunc(m.ended, func(_ string, e endedOrder) bool { return now.After(e.until) })
	for service, versions := range m.refused {
		maps.DeleteFunc(versions, func(_ string, until time.Time) bool { return now.After(until) })
		if len(versions) == 0 {
			delete(m.refused, service)
		}
	}
}

// Rollouts returns the roll-outs, ordered by service.
func (m *Manager) Rollouts() []*Rollout {
	list := make([]*Rollout, 0, len(m.rollouts))
	for _, service := range slices.Sorted(maps.Keys(m.rollouts)) {
		list = append(list, m.rollouts[service])
	}
	return list
}

// Receive takes over the reports of another host. Those on unknown orders are ignored: the
// row is still on its way, and later reports repeat them.
func (m *Manager) Receive(now time.Time, from Process, reports []Report) {
	for i := range reports {
		if r := m.rollouts[reports[i].Service]; r != nil {
			r.Receive(now, from, &reports[i])
		}
	}
}

// Adopt takes over the stages that another host reports, as for a host that has just started.
func (m *Manager) Adopt(now time.Time, reports []Report) {
	for i := range reports {
		if r := m.rollouts[reports[i].Service]; r != nil {
			r.Adopt(now, &reports[i])
		}
	}
}

// Reports returns what this host tells the others of at most n roll-outs: first those that are
// under way, then some of those that have ended, which take turns from call to call.
func (m *Manager) Reports(now time.Time, n int) []Report {
	var reports, ended []Report
	for _, r := range m.Rollouts() {
		if r.stage.Final() {
			ended = append(ended, r.Report(now))
		} else {
			reports = append(reports, r.Report(now))
		}
	}
	for _, e := range m.ended {
		if now.Before(e.until) {
			ended = append(ended, e.report)
		}
	}
	for range ended {
		if len(reports) >= n {
			break
		}
		m.turn++
		reports = append(reports, ended[m.turn%len(ended)])
	}
	return reports[:min(n, len(reports))]
}

// Idle reports whether nothing is left to decide: there is no order, or all have ended, and no
// version waits for one.
func (m *Manager) Idle(now time.Time) bool {
	for service := range m.versions {
		if m.waiting(now, service) {
			return false
		}
	}
	for _, r := range m.rollouts {
		if !r.stage.Final() {
			return false
		}
	}
	return true
}

// Splits returns the division of the calls of every service for which there is one. Place
// returns the place of this host for a service.
func (m *Manager) Splits(now time.Time, place func(service string) Place) map[string]Split {
	splits := map[string]Split{}
	for service, r := range m.rollouts {
		if s, ok := r.Split(now, place(service)); ok {
			splits[service] = s
		}
	}
	for service := range m.versions {
		s := splits[service]
		if s.Refused = m.refusedVersions(now, service, s.Target); len(s.Refused) > 0 {
			splits[service] = s
		}
	}
	return splits
}

// refusedVersions returns the versions of a service, other than the target of its order, that
// get no calls. A version that waits for an order is used if there is no other one.
func (m *Manager) refusedVersions(now time.Time, service, target string) []string {
	var refused, waiting []string
	others := false
	for v, until := range m.versions[service] {
		_, out := m.refused[service][v]
		switch {
		case v == target:
		case out:
			refused = append(refused, v)
		case now.Before(until):
			waiting = append(waiting, v)
		default:
			others = true
		}
	}
	if others {
		refused = append(refused, waiting...)
	}
	slices.Sort(refused)
	return refused
}
