package htentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htselect"
	"hawthornturn/io/htgossip"
)

const (
	// directHeartbeatInterval is the time between the heartbeats that hub candidates send
	// directly to the hosts of their failure domain. Two may be lost before another host
	// becomes the hub.
	directHeartbeatInterval = 250 * time.Millisecond
	// groupCheckTicks is the number of directHeartbeatInterval ticks between checks whether a
	// heartbeat to all hosts, via the hub, is due.
	groupCheckTicks = int(htgroup.MinHeartbeatInterval / directHeartbeatInterval)
	// silentPingTicks is the number of ticks between pings of silent hosts, which hub
	// candidates and isolated hosts send.
	silentPingTicks = 4
	// removeSilentAfter is how long a silent host is pinged before it is removed.
	removeSilentAfter = 2 * time.Minute
	// hubForwardTimeout is how long a host waits for rows via its hub before it fetches them
	// itself. The largest configuration takes a few tenths of a second.
	hubForwardTimeout = 500 * time.Millisecond
	// behindResetAfter is the age above which an earlier behindSince is replaced, so that the
	// wait of hubForwardTimeout starts again.
	behindResetAfter = 2 * time.Second
)

// sendHeartbeats sends heartbeats and pings until ctx ends, and removes hosts that are
// silent for too long.
func (e *Entry) sendHeartbeats(ctx context.Context) error {
	tick := e.timers.Subscribe("beat", directHeartbeatInterval)
	defer tick.Stop()
	e.sendViaHub(e.newHeartbeat(routeViaHub))
	e.pingSilentHosts()
	nextGroupTick, wasCandidate := groupCheckTicks, false
	for ticks := 1; ; ticks++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := e.timers.Now()
		e.mu.Lock()
		candidate, isolated := e.group.HubCandidate(now), e.group.Isolated(now)
		e.mu.Unlock()
		if candidate {
			e.sendDomainHeartbeat()
		}
		if ticks%groupCheckTicks == 0 {
			// A host that is no longer a hub candidate announces its longer interval to the
			// hosts that received its frequent direct heartbeats.
			if ticks >= nextGroupTick || e.heartbeatsFrequently() || (wasCandidate && !candidate) {
				nextGroupTick = ticks + e.sendGroupHeartbeat()
			}
			wasCandidate = candidate
			e.removeExpired()
		}
		if ticks%silentPingTicks == 0 && (candidate || isolated) {
			e.pingSilentHosts()
		}
	}
}

// sendGroupHeartbeat sends a heartbeat to all hosts via the hub. It returns the number of
// ticks until the next one.
func (e *Entry) sendGroupHeartbeat() int {
	m := e.newHeartbeat(routeViaHub)
	e.sendViaHub(m)
	return max(groupCheckTicks, int(m.Status.NextHeartbeat()/directHeartbeatInterval))
}

// heartbeatsFrequently reports whether this host sends heartbeats at the shortest interval:
// it is a hub or a reader of the store, hosts are few, or it repeats crash counts for hosts
// that missed them.
func (e *Entry) heartbeatsFrequently() bool {
	if len(e.relay.RecentCrashes()) > 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group.HeartbeatInterval(e.timers.Now()) == htgroup.MinHeartbeatInterval
}

// removeExpired removes hosts that are silent for too long, and triggers the removal of
// upstreams whose rows lapsed (htmirror.Row.Lapsed) more than htmirror.LapseGrace ago.
func (e *Entry) removeExpired() {
	now := e.timers.Now()
	e.mu.Lock()
	for _, m := range e.group.RemoveSilent(now, removeSilentAfter) {
		logrus.WithFields(logrus.Fields{"event": "host-forgotten", "address": m.Address}).Info("host removed: silent for too long")
	}
	graceOver := !e.lapseGraceEnd.IsZero() && !e.lapseGraceEnd.After(now)
	e.mu.Unlock()
	if graceOver {
		e.notifyRowsChanged()
	}
}

// sendAllHeartbeats sends a heartbeat directly to the hosts of this failure domain and
// another one via the hub to all hosts, so that a change of state is known at once.
func (e *Entry) sendAllHeartbeats() {
	e.sendDomainHeartbeat()
	e.sendViaHub(e.newHeartbeat(routeViaHub))
}

// pingSilentHosts sends silent hosts a heartbeat that asks for a reply.
func (e *Entry) pingSilentHosts() {
	e.mu.Lock()
	_, silent := e.group.Others(e.timers.Now())
	e.mu.Unlock()
	if len(silent) == 0 {
		return
	}
	m := e.newHeartbeat(routeViaHub)
	m.Status.WantsReply = true
	m.Status.Name = e.settings.Self.Name
	e.sendMessages(htgossip.ScopeNone, []htgossip.Message{m}, silent)
}

// sendDomainHeartbeat sends a heartbeat directly to the hosts of this failure domain.
func (e *Entry) sendDomainHeartbeat() {
	e.mu.Lock()
	peers := e.group.DomainPeers(e.timers.Now())
	e.mu.Unlock()
	e.sendMessages(htgossip.ScopeNone, []htgossip.Message{e.newHeartbeat(routeDirect)}, peers)
}

// heartbeatRoute is how a heartbeat is sent: via the hub to all hosts, or directly to the
// hosts of this failure domain, which get the next direct one of a hub candidate after
// directHeartbeatInterval.
type heartbeatRoute int

const (
	routeViaHub heartbeatRoute = iota
	routeDirect
)

func (e *Entry) newHeartbeat(route heartbeatRoute) htgossip.Message {
	now := e.timers.Now()
	m := e.newMessage()
	m.Crashes = e.relay.RecentCrashes()
	status := &htgossip.Status{Domain: e.settings.Self.Domain, Capacity: e.settings.Self.Capacity, StoreAgeMS: -1, Leaving: e.stopping.Load()}
	e.mu.Lock()
	defer e.mu.Unlock()
	frequent := route == routeDirect && e.group.HubCandidate(now)
	if interval := e.group.HeartbeatInterval(now); !frequent && interval > htgroup.MinHeartbeatInterval {
		status.NextHeartbeatMS = interval.Milliseconds()
	}
	status.Versions, status.Era = e.mirror.Versions(), e.mirror.Era()
	if age := e.group.StoreAge(now); age >= 0 {
		status.StoreAgeMS = age.Milliseconds()
	}
	m.Status = status
	if route == routeViaHub {
		m.Rollouts = e.rollouts.manager.Reports(now, maxReports)
	}
	return m
}

func (e *Entry) newMessage() htgossip.Message {
	m := e.newDirectMessage()
	m.Sequence = e.sequence.Add(1)
	return m
}

// newDirectMessage returns a message without a sequence number. Messages that go directly overtake
// those that hubs gather, which would count as old.
func (e *Entry) newDirectMessage() htgossip.Message {
	return htgossip.Message{Origin: htgossip.PeerIDOf(e.settings.Self.Address.Addr()), Incarnation: e.incarnation}
}

// receive handles a datagram of another host: it forwards the messages as their scope
// requires and applies those that are new.
func (e *Entry) receive(from netip.AddrPort, d *htgossip.Datagram) {
	now := e.timers.Now()
	e.mu.Lock()
	e.group.RecordDatagram(now, from, d.Scope == htgossip.ScopeDomain)
	e.mu.Unlock()
	e.forwardDatagram(d)
	for i := range d.Messages {
		m := &d.Messages[i]
		switch {
		case m.Usage != nil:
			e.applyUsage(now, m)
			continue
		case m.Demand != nil:
			e.applyDemand(now, m)
			continue
		}
		origin := netip.AddrPortFrom(htgossip.AddressOf(m.Origin), e.settings.Self.Address.Port())
		if origin == e.settings.Self.Address || !e.recordIfNewer(m) {
			continue
		}
		e.applyMessage(now, m)
		if m.Status != nil {
			e.recordHeartbeat(now, origin, from, m.Status)
			if m.Status.WantsReply {
				e.replyHeartbeat(origin)
			}
		}
	}
}

// replyHeartbeat sends a heartbeat to a host that requested one in pingSilentHosts because it
// counted this host as silent, for example because it has just started. The request is not
// forwarded to other hosts; they receive the requesting host's own heartbeats.
func (e *Entry) replyHeartbeat(to netip.AddrPort) {
	e.sendMessages(htgossip.ScopeNone, []htgossip.Message{e.newHeartbeat(routeViaHub)}, []htgroup.Member{{Address: to}})
}

// recordIfNewer reports whether a message is newer than the last one of its kind and origin, and
// records it if so. Messages take different routes and may arrive out of order: heartbeats that go
// directly overtake news that hubs gather.
func (e *Entry) recordIfNewer(m *htgossip.Message) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.lastMessages[m.Origin]
	if last.incarnation != m.Incarnation {
		last, known = lastMessage{incarnation: m.Incarnation}, false
	}
	newest := &last.news
	if m.Status != nil {
		newest = &last.heartbeat
	}
	if known && m.Sequence <= *newest {
		return false
	}
	*newest = m.Sequence
	e.lastMessages[m.Origin] = last
	return true
}

// lastMessage holds the sequence numbers of the newest heartbeat and of the newest other message
// of a process.
type lastMessage struct{ incarnation, heartbeat, news uint32 }

// applyMessage applies the contents of a message except its status.
func (e *Entry) applyMessage(now time.Time, m *htgossip.Message) {
	for _, ref := range m.Gone {
		e.relay.ObserveRemote(now, htselect.Observation{Upstream: ref, Down: true, Gone: true})
	}
	for _, of := range m.Leaving {
		e.relay.RecordLeaving(htselect.Incarnation{Upstream: of.Upstream, Started: of.Started})
	}
	e.relay.WithSelector(func(s *htselect.Selector) {
		for _, f := range m.Faults {
			fault := htselect.Fault{Upstream: f.Upstream, Weight: float64(f.Percent) / 100}
			if u, known := s.Upstream(f.Upstream); s.AddFault(now, fault) && known {
				logFault(u, htgossip.AddressOf(m.Origin).String())
			}
		}
	})
	if len(m.Crashes) > 0 {
		e.relay.MergeCrashes(m.Crashes)
	}
	if m.Update != nil {
		e.applyPushedRows(now, m.Update)
	}
	if len(m.Rollouts) > 0 {
		e.receiveRollouts(now, m)
	}
}

// recordHeartbeat records a heartbeat and requests the rows that its sender has and this host
// lacks.
func (e *Entry) recordHeartbeat(now time.Time, origin, from netip.AddrPort, s *htgossip.Status) {
	e.mu.Lock()
	age := s.StoreAge()
	if s.Era < e.mirror.Era() {
		// This host can't use the rows of a reader in an earlier era, such as one that runs a
		// program without eras.
		age = -1
	}
	silent := e.group.RecordMessage(now, htgroup.Member{Name: s.Name, Address: origin, Domain: s.Domain, Capacity: s.Capacity}, age, s.NextHeartbeat(), s.Leaving)
	// An older response is that of a host that reads no more.
	if age >= 0 && age < htgroup.ReaderTimeout {
		logOutage(e.mirror.RecordContact(now.Add(-age)), "other")
	}
	behind := e.mirror.Position().Behind(s.Position()) && e.shouldFetchRows(now, origin, from)
	e.mu.Unlock()
	if silent {
		logrus.WithFields(logrus.Fields{"event": "host-heard", "address": origin, "failure-domain": s.Domain}).Info("message from a silent host: it is running")
	}
	if behind {
		select {
		case e.fetchSources <- origin:
		default: // a fetch is in progress; the next heartbeat requests another
		}
	}
}

// shouldFetchRows reports whether to fetch the rows that a heartbeat announces. The hub of
// each failure domain fetches them from the host that has them, and the other hosts from
// their hub once it announces them. Another host is asked only after hubForwardTimeout, since
// a host of low capacity that all hosts ask for a large configuration answers none of them
// in time. The caller holds e.mu.
func (e *Entry) shouldFetchRows(now time.Time, origin, from netip.AddrPort) bool {
	hub, _ := e.group.Hubs(now)
	if origin == from && (origin == hub.Address || hub.Address == e.settings.Self.Address || e.mirror.Versions() == (htmirror.Versions{})) {
		e.behindSince = time.Time{}
		return true
	}
	if hub.Address == e.settings.Self.Address {
		return true
	}
	if e.behindSince.IsZero() || now.Sub(e.behindSince) > behindResetAfter {
		e.behindSince = now
		return false
	}
	return now.Sub(e.behindSince) > hubForwardTimeout
}
