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
	// beatPeriod is the time between the signs of life that hubs and their deputies send
	// directly. Two may be lost before another host becomes the hub.
	beatPeriod = 250 * time.Millisecond
	// farBeats is how many beats pass between two looks whether one is due that goes to all
	// hosts, by way of the hub.
	farBeats = int(htgroup.HeartbeatInterval / beatPeriod)
	// quietBeats is how many beats pass between tries to reach silent hosts.
	quietBeats = 4
	// forgetAfter is how long a silent host is tried.
	forgetAfter = 2 * time.Minute
	// passDelay is how long rows may take by way of the hub. The largest configuration
	// takes a few tenths of a second.
	passDelay = 500 * time.Millisecond
	// forgetBehind is the time after which a delay counts anew.
	forgetBehind = 2 * time.Second
)

// beat sends signs of life.
func (e *Entry) beat(ctx context.Context) error {
	tick := e.timers.Subscribe("beat", beatPeriod)
	defer tick.Stop()
	e.spread(e.newBeat(farBeat))
	e.beatQuiet()
	due, often := farBeats, false
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := e.timers.Now()
		e.mu.Lock()
		deputy, alone := e.group.HubCandidate(now), e.group.Isolated(now)
		e.mu.Unlock()
		if deputy {
			e.beatNear()
		}
		if n%farBeats == 0 {
			// The hosts that heard a deputy often are told that its beats become rare.
			if n >= due || e.hurries() || (often && !deputy) {
				due = n + e.beatAgain()
			}
			often = deputy
			e.expire()
		}
		if n%quietBeats == 0 && (deputy || alone) {
			e.beatQuiet()
		}
	}
}

// beatAgain sends a beat to all hosts. It returns the number of beat periods until the next
// one.
func (e *Entry) beatAgain() int {
	m := e.newBeat(farBeat)
	e.spread(m)
	return max(farBeats, int(m.Status.NextHeartbeat()/beatPeriod))
}

// hurries reports whether this host beats often: it has a duty, or crashes that it counted
// are repeated for hosts that missed them.
func (e *Entry) hurries() bool {
	if len(e.relay.RecentCrashes()) > 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group.HeartbeatInterval(e.timers.Now()) == htgroup.HeartbeatInterval
}

// expire forgets lost hosts and drops lapsed upstreams whose grace is over.
func (e *Entry) expire() {
	now := e.timers.Now()
	e.mu.Lock()
	for _, m := range e.group.RemoveSilent(now, forgetAfter) {
		logrus.WithFields(logrus.Fields{"event": "host-forgotten", "address": m.Address}).Info("host silent for too long")
	}
	if contact := e.group.LastStoreContact(now); !contact.IsZero() {
		e.mirror.RecordContact(contact)
	}
	over := !e.graceEnd.IsZero() && !e.graceEnd.After(now)
	e.mu.Unlock()
	if over {
		e.rowsChanged()
	}
}

// beatAll sends a beat with news to the hosts of this failure domain and, by way of the
// hub, to the others.
func (e *Entry) beatAll() {
	e.beatNear()
	e.spread(e.newBeat(farBeat))
}

// beatQuiet asks silent hosts whether they run.
func (e *Entry) beatQuiet() {
	e.mu.Lock()
	_, quiet := e.group.Others(e.timers.Now())
	e.mu.Unlock()
	if len(quiet) == 0 {
		return
	}
	m := e.newBeat(farBeat)
	m.Status.WantsReply = true
	m.Status.Name = e.settings.Self.Name
	e.transmit(htgossip.ScopeNone, []htgossip.Message{m}, quiet)
}

// beatNear sends a beat to the hosts of this failure domain.
func (e *Entry) beatNear() {
	e.mu.Lock()
	near := e.group.DomainPeers(e.timers.Now())
	e.mu.Unlock()
	e.transmit(htgossip.ScopeNone, []htgossip.Message{e.newBeat(nearBeat)}, near)
}

// way is how a beat goes: by way of the hub, or directly to the hosts of a failure domain,
// which hear the next one of a deputy soon.
type way int

const (
	farBeat way = iota
	nearBeat
)

func (e *Entry) newBeat(w way) htgossip.Message {
	now := e.timers.Now()
	m := e.newMessage()
	m.Crashes = e.relay.RecentCrashes()
	status := &htgossip.Status{Domain: e.settings.Self.Domain, Capacity: e.settings.Self.Capacity, StoreAgeMS: -1, Leaving: e.stopping.Load()}
	e.mu.Lock()
	defer e.mu.Unlock()
	often := w == nearBeat && e.group.HubCandidate(now)
	if period := e.group.HeartbeatInterval(now); !often && period > htgroup.HeartbeatInterval {
		status.NextHeartbeatMS = period.Milliseconds()
	}
	status.Versions = e.mirror.Versions()
	if age := e.group.StoreAge(now); age >= 0 {
		status.StoreAgeMS = age.Milliseconds()
	}
	m.Status = status
	return m
}

func (e *Entry) newMessage() htgossip.Message {
	return htgossip.Message{
		Origin:      htgossip.PeerIDOf(e.settings.Self.Address.Addr()),
		Incarnation: e.incarnation,
		Sequence:    e.sequence.Add(1),
	}
}

// receive takes in a datagram of another host.
func (e *Entry) receive(from netip.AddrPort, d *htgossip.Datagram) {
	now := e.timers.Now()
	e.mu.Lock()
	e.group.RecordDatagram(now, from, d.Scope == htgossip.ScopeDomain)
	e.mu.Unlock()
	e.passOn(d)
	for i := range d.Messages {
		m := &d.Messages[i]
		origin := netip.AddrPortFrom(htgossip.AddressOf(m.Origin), e.settings.Self.Address.Port())
		if origin == e.settings.Self.Address || !e.newer(m) {
			continue
		}
		e.learn(now, m)
		if m.Status != nil {
			e.heard(now, origin, from, m.Status)
			if m.Status.WantsReply {
				e.answer(origin)
			}
		}
	}
}

// answer sends a beat to a host that has just started. The others hear of it by its own
// beats.
func (e *Entry) answer(to netip.AddrPort) {
	e.transmit(htgossip.ScopeNone, []htgossip.Message{e.newBeat(farBeat)}, []htgroup.Member{{Address: to}})
}

// newer reports whether a message is newer than the last one of its origin. Messages
// take different ways and may overtake each other.
func (e *Entry) newer(m *htgossip.Message) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.heardLast[m.Origin]
	if known && last.incarnation == m.Incarnation && m.Sequence <= last.sequence {
		return false
	}
	e.heardLast[m.Origin] = lastMessage{m.Incarnation, m.Sequence}
	return true
}

// lastMessage is the newest message of a host.
type lastMessage struct{ incarnation, sequence uint32 }

// learn gives the contents of a message to the relay.
func (e *Entry) learn(now time.Time, m *htgossip.Message) {
	for _, ref := range m.Gone {
		e.relay.ObserveRemote(now, htselect.Observation{Upstream: ref, Down: true, Gone: true})
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
		e.pushed(now, m.Update)
	}
}

// heard takes in a sign of life.
func (e *Entry) heard(now time.Time, origin, from netip.AddrPort, s *htgossip.Status) {
	e.mu.Lock()
	silent := e.group.RecordMessage(now, htgroup.Member{Name: s.Name, Address: origin, Domain: s.Domain, Capacity: s.Capacity}, s.StoreAge(), s.NextHeartbeat(), s.Leaving)
	behind := e.mirror.Versions().Behind(s.Versions) && e.fetchNow(now, origin, from)
	e.mu.Unlock()
	if silent {
		logrus.WithFields(logrus.Fields{"event": "host-heard", "address": origin, "failure-domain": s.Domain}).Info("host is running")
	}
	if behind {
		select {
		case e.behind <- origin:
		default: // a fetch is under way; the next beat asks again
		}
	}
}

// fetchNow reports whether to fetch rows because of a beat. The hub of each failure domain
// fetches them from the host that has them, and the others from their hub, which tells when
// it has them. Another host is asked only if that takes too long: a weak one that is asked
// by all for a large configuration answers nobody in time. The caller holds e.mu.
func (e *Entry) fetchNow(now time.Time, origin, from netip.AddrPort) bool {
	hub, _ := e.group.Hubs(now)
	if origin == from && (origin == hub.Address || hub.Address == e.settings.Self.Address || e.mirror.Versions() == (htmirror.Versions{})) {
		e.behindSince = time.Time{}
		return true
	}
	if hub.Address == e.settings.Self.Address {
		return true
	}
	if e.behindSince.IsZero() || now.Sub(e.behindSince) > forgetBehind {
		e.behindSince = now
		return false
	}
	return now.Sub(e.behindSince) > passDelay
}
