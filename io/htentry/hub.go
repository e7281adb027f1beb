package htentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htgroup"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htselect"
	"hawthornturn/io/htgossip"
)

const (
	// announceDelay gathers changes that come at the same moment into one message.
	announceDelay = 3 * time.Millisecond
	// hubDelay gathers the messages of a failure domain that have news into one datagram,
	// and beatDelay those that have none.
	hubDelay  = 8 * time.Millisecond
	beatDelay = 100 * time.Millisecond
	// maxChanges and maxMessages bound what waits to be sent.
	maxChanges  = 256
	maxMessages = 1024
	// bundleSize is the number of messages after which a datagram is full.
	bundleSize = 24
)

// change is something that other hosts are told at once: an upstream that is gone, a fault
// or a crash.
type change struct {
	gone  htcatalog.Ref
	fault *htselect.Fault
	crash *htroute.CrashCount
}

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
			e.spread(e.gather(first))
		}
	}
}

// gather makes one message of the changes that wait.
func (e *Entry) gather(first change) htgossip.Message {
	m := e.newMessage()
	add := func(c change) {
		switch {
		case c.fault != nil:
			m.Faults = append(m.Faults, htgossip.Fault{Upstream: c.fault.Upstream, Percent: uint8(100 * c.fault.Weight)})
		case c.crash != nil:
			m.Crashes = append(m.Crashes, *c.crash)
		default:
			m.Gone = append(m.Gone, c.gone)
		}
	}
	add(first)
	for len(e.changes) > 0 && len(m.Gone)+len(m.Faults)+len(m.Crashes) < maxChanges/8 {
		add(<-e.changes)
	}
	return m
}

// spread sends a message of this host to all others by way of the hub.
func (e *Entry) spread(m htgossip.Message) {
	now := e.timers.Now()
	e.mu.Lock()
	hub, _ := e.group.Hubs(now)
	e.mu.Unlock()
	if hub.Address == e.settings.Self.Address {
		e.bundle(m)
		return
	}
	e.transmit(htgossip.ScopeAll, []htgossip.Message{m}, []htgroup.Member{hub})
}

// passOn sends the messages of a datagram on, if its scope says so. Messages of another
// hub were gathered there, so they go on at once.
func (e *Entry) passOn(d *htgossip.Datagram) {
	switch d.Scope {
	case htgossip.ScopeAll:
		for _, m := range d.Messages {
			e.bundle(m)
		}
	case htgossip.ScopeDomain:
		e.mu.Lock()
		near := e.group.DomainPeers(e.timers.Now())
		e.mu.Unlock()
		e.transmit(htgossip.ScopeNone, d.Messages, near)
	}
}

// bundle puts a message into the next datagram of the hub.
func (e *Entry) bundle(m htgossip.Message) {
	select {
	case e.bundles <- m:
	default:
		e.metrics.changesDropped.Add(1)
	}
}

// relayMessages sends what the hub has gathered.
func (e *Entry) relayMessages(ctx context.Context) error {
	for {
		messages, err := e.gatherMessages(ctx)
		if err != nil {
			return err
		}
		e.mu.Lock()
		now := e.timers.Now()
		near := e.group.DomainPeers(now)
		_, far := e.group.Hubs(now)
		e.mu.Unlock()
		e.transmit(htgossip.ScopeNone, messages, near)
		e.transmit(htgossip.ScopeDomain, messages, far)
	}
}

// gatherMessages waits for messages until a datagram is full or the oldest ones have
// waited long enough.
func (e *Entry) gatherMessages(ctx context.Context) ([]htgossip.Message, error) {
	var messages []htgossip.Message
	wait := time.NewTimer(time.Hour)
	defer wait.Stop()
	urgent := false
	for len(messages) < bundleSize {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait.C:
			return messages, nil
		case m := <-e.bundles:
			messages = append(messages, m)
			switch news := e.hasNews(&m); {
			case news && !urgent:
				urgent = true
				wait.Reset(hubDelay)
			case len(messages) == 1:
				wait.Reset(beatDelay)
			}
		}
	}
	return messages, nil
}

// hasNews reports whether other hosts should get a message soon.
func (e *Entry) hasNews(m *htgossip.Message) bool {
	if m.Status == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	newer := e.passed.Behind(m.Status.Versions)
	e.passed = e.passed.Max(m.Status.Versions)
	return newer || m.Status.Leaving
}

func (e *Entry) transmit(scope htgossip.Scope, messages []htgossip.Message, to []htgroup.Member) {
	if len(to) == 0 {
		return
	}
	d := &htgossip.Datagram{Scope: scope, Messages: messages}
	data, err := d.Encode()
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "message-not-encoded"}).WithError(err).Error("message to other hosts lost")
		return
	}
	if half := len(messages) / 2; len(data) > htgossip.MaxDatagram && half > 0 {
		e.transmit(scope, messages[:half], to)
		e.transmit(scope, messages[half:], to)
		return
	}
	addresses := make([]netip.AddrPort, len(to))
	for i, p := range to {
		addresses[i] = p.Address
	}
	e.metrics.datagrams.Add(len(to))
	e.gossip.Send(data, addresses...)
}
