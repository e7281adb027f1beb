package htentry

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htgroup"
	"hawthornturn/core/htselect"
	"hawthornturn/io/htgossip"
)

const (
	// beatPeriod is the time between signs of life. Three may be lost before the
	// duties of a host move.
	beatPeriod = 250 * time.Millisecond
	// quietBeats is how many beats pass between tries to reach a silent host.
	quietBeats = 4
	// forgetAfter is how long a silent host is tried.
	forgetAfter = 2 * time.Minute
	// announceDelay gathers changes that come at the same moment into one datagram.
	announceDelay = 3 * time.Millisecond
	maxChanges    = 256
	// passDelay is how long rows may take by way of the host that passes messages on.
	passDelay = 60 * time.Millisecond
)

// change is something that other hosts are told at once: an observation, a fault or a
// new number of calls at an upstream.
type change struct {
	observation *htselect.Observation
	fault       *htselect.Fault
	counted     htcatalog.Ref
}

// Observed implements htrelay.Events. Only the host that watches the upstream tells
// the others of its load; what no host can miss is told by all.
func (e *Entry) Observed(o htselect.Observation) {
	if !o.Down && !e.watches(o.Upstream) {
		return
	}
	e.tell(change{observation: &o})
}

// Faulty implements htrelay.Events.
func (e *Entry) Faulty(f htselect.Fault) { e.tell(change{fault: &f}) }

// Counted implements htrelay.Events.
func (e *Entry) Counted(ref htcatalog.Ref) { e.tell(change{counted: ref}) }

func (e *Entry) tell(c change) {
	select {
	case e.changes <- c:
	default:
		e.metrics.changesDropped.Add(1)
	}
}

// announce sends changes to the other hosts.
func (e *Entry) announce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-e.changes:
			if err := sleep(ctx, announceDelay); err != nil {
				return err
			}
			e.sendChanges(first)
		}
	}
}

func (e *Entry) sendChanges(first change) {
	m := &htgossip.Message{}
	counted := map[htcatalog.Ref]bool{}
	add := func(c change) {
		switch {
		case c.observation != nil:
			m.Reports = append(m.Reports, htgossip.NewReport(*c.observation, announceDelay))
		case c.fault != nil:
			m.Faults = append(m.Faults, htgossip.Fault{Upstream: c.fault.Upstream, Percent: uint8(100 * c.fault.Weight)})
		default:
			counted[c.counted] = true
		}
	}
	add(first)
	for len(e.changes) > 0 && len(m.Reports)+len(m.Faults) < maxChanges/8 {
		add(<-e.changes)
	}
	if len(counted) > 0 {
		e.relay.Do(func(s *htselect.Selector) {
			for ref := range counted {
				m.Counts = append(m.Counts, htgossip.NewCount(ref, s.InFlight(ref)))
			}
		})
	}
	e.send(m, false)
}

// beat sends signs of life, with all that this host watches.
func (e *Entry) beat(ctx context.Context) error {
	tick := e.timers.Subscribe("beat", beatPeriod)
	defer tick.Stop()
	e.sendBeat(true)
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		e.sendBeat(n%quietBeats == 0)
		e.expire()
	}
}

// expire forgets lost hosts and drops lapsed upstreams whose grace is over.
func (e *Entry) expire() {
	now := e.timers.Now()
	e.mu.Lock()
	for _, m := range e.group.Drop(now, forgetAfter) {
		logrus.WithFields(logrus.Fields{"event": "host-forgotten", "address": m.Address}).Info("host silent for too long")
	}
	if contact := e.group.StoreContact(now); !contact.IsZero() {
		e.mirror.Contact(contact)
	}
	over := !e.graceEnd.IsZero() && !e.graceEnd.After(now)
	if over {
		e.rebuild(now)
	}
	e.mu.Unlock()
	if over {
		e.applyCatalog(now)
	}
}

// sendBeat sends a beat to running hosts, and to quiet ones too if all is set.
func (e *Entry) sendBeat(all bool) { e.send(e.newBeat(), all) }

func (e *Entry) newBeat() *htgossip.Message {
	now := e.timers.Now()
	m := &htgossip.Message{Beat: true, Domain: e.settings.Self.Domain, Crashes: e.relay.Crashes()}
	watched := e.watched(now)
	e.relay.Do(func(s *htselect.Selector) {
		for _, u := range watched {
			report, seen := s.Report(u.Ref())
			if !seen.IsZero() {
				m.Reports = append(m.Reports, htgossip.NewReport(report, now.Sub(seen)))
			}
		}
		s.EachInFlight(func(ref htcatalog.Ref, calls int) { m.Counts = append(m.Counts, htgossip.NewCount(ref, calls)) })
	})
	return m
}

// fill adds what every message tells of its sender.
func (e *Entry) fill(m *htgossip.Message) {
	now := e.timers.Now()
	m.Leaving = e.stopping.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	m.Versions = e.mirror.Versions()
	m.Store = -1
	if age := e.group.StoreAge(now); age >= 0 {
		m.Store = age.Milliseconds()
	}
}

// send sends a message to the hosts of this failure domain and, by way of one host of
// each, to those of the others. If all is set, silent hosts get it too.
func (e *Entry) send(m *htgossip.Message, all bool) {
	e.fill(m)
	now := e.timers.Now()
	e.mu.Lock()
	near, far := e.group.Near(now), e.group.Far(now)
	_, quiet := e.group.Others(now)
	e.mu.Unlock()
	e.transmit(m, near)
	m.Pass = true
	e.transmit(m, far)
	if all && len(quiet) > 0 {
		m.Pass = false
		m.Asks = true
		m.Name = e.settings.Self.Name
		e.transmit(m, quiet)
	}
}

func (e *Entry) transmit(m *htgossip.Message, to []htgroup.Member) {
	if len(to) == 0 {
		return
	}
	data, err := m.Encode()
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "message-not-encoded"}).WithError(err).Error("message to other hosts lost")
		return
	}
	addresses := make([]netip.AddrPort, len(to))
	for i, p := range to {
		addresses[i] = p.Address
	}
	e.metrics.datagrams.Add(int64(len(to)))
	e.gossip.Send(data, addresses...)
}

// receive takes in a datagram of another host.
func (e *Entry) receive(from netip.AddrPort, m *htgossip.Message) {
	if m.Source(from) == e.settings.Self.Address {
		return
	}
	now := e.timers.Now()
	if m.Pass {
		e.passOn(now, from, m)
	}
	for _, r := range m.Reports {
		e.relay.Learn(now.Add(-r.Age()), r.Observation())
	}
	if len(m.Counts) > 0 {
		peer := peerOf(m.Source(from))
		e.relay.Do(func(s *htselect.Selector) {
			for _, c := range m.Counts {
				s.Told(now, peer, c.Upstream, int(c.Calls))
			}
		})
		e.relay.Pump()
	}
	if len(m.Faults) > 0 {
		e.relay.Do(func(s *htselect.Selector) {
			for _, f := range m.Faults {
				s.Faulty(now, htselect.Fault{Upstream: f.Upstream, Weight: float64(f.Percent) / 100})
			}
		})
	}
	if len(m.Crashes) > 0 {
		e.relay.MergeCrashes(m.Crashes)
	}
	if m.Beat {
		e.heard(now, from, m)
	}
}

// peerOf returns the short name of a host in the selector.
func peerOf(address netip.AddrPort) htselect.Peer {
	ip := address.Addr().As4()
	return htselect.Peer(binary.BigEndian.Uint32(ip[:]))
}

// passOn sends a message from another failure domain to the hosts of this one: bytes
// between failure domains are paid for, those within are not.
func (e *Entry) passOn(now time.Time, from netip.AddrPort, m *htgossip.Message) {
	copied := *m
	copied.Pass = false
	copied.Origin = from.String()
	e.mu.Lock()
	near := e.group.Near(now)
	e.mu.Unlock()
	e.transmit(&copied, near)
}

// heard takes in a sign of life.
func (e *Entry) heard(now time.Time, from netip.AddrPort, m *htgossip.Message) {
	source := m.Source(from)
	member := htgroup.Member{Name: m.Name, Address: source, Domain: m.Domain}
	e.mu.Lock()
	silent := e.group.Heard(now, member, m.StoreAge(), m.Leaving)
	behind := e.mirror.Versions().Behind(m.Versions) && e.fetchNow(now, m)
	e.mu.Unlock()
	if silent {
		logrus.WithFields(logrus.Fields{"event": "host-heard", "address": source, "failure-domain": m.Domain}).Info("host is running")
	}
	if behind {
		select {
		case e.behind <- source:
		default: // a fetch is under way; the next beat asks again
		}
	}
	if m.Asks {
		e.sendBeat(false)
	}
}

// fetchNow reports whether to fetch rows because of a message. After one that was passed
// on, the host that passed it on has the rows soon, and tells; its origin is asked only
// if that takes too long. The caller holds e.mu.
func (e *Entry) fetchNow(now time.Time, m *htgossip.Message) bool {
	if m.Origin == "" {
		e.behindSince = time.Time{}
		return true
	}
	if e.behindSince.IsZero() || now.Sub(e.behindSince) > 2*beatPeriod {
		e.behindSince = now
		return false
	}
	return now.Sub(e.behindSince) > passDelay
}

// watches reports whether this host probes the upstream.
func (e *Entry) watches(ref htcatalog.Ref) bool {
	for _, u := range e.watched(e.timers.Now()) {
		if u.Ref() == ref {
			return true
		}
	}
	return false
}

// watched lists the upstreams that this host probes: those of its failure domain for
// which it is first in rank, and others only if no host runs there.
func (e *Entry) watched(now time.Time) []htcatalog.Upstream {
	catalog := e.Catalog()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []htcatalog.Upstream
	for _, u := range catalog.Upstreams {
		if catalog.Service(u.Service) != nil && e.group.Rank(now, uint64(u.Ref()), u.Domain) == 0 {
			list = append(list, u)
		}
	}
	return list
}

// tellNear sends a beat to the hosts of this failure domain, which names the versions
// that this host has just got.
func (e *Entry) tellNear(near []htgroup.Member) {
	m := e.newBeat()
	e.fill(m)
	e.transmit(m, near)
}
