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
	// changeBatchDelay is how long a change waits for others, so that simultaneous changes are
	// sent in one message.
	changeBatchDelay = 3 * time.Millisecond
	// urgentBatchDelay is how long the hub waits for further messages of its failure domain to
	// send in one datagram after an urgent one, and heartbeatBatchDelay after others.
	urgentBatchDelay    = 8 * time.Millisecond
	heartbeatBatchDelay = 100 * time.Millisecond
	// maxQueuedChanges and maxQueuedMessages bound the queues of changes of this host and of
	// messages at the hub.
	maxQueuedChanges  = 256
	maxQueuedMessages = 1024
	// maxBatchMessages is the number of messages that fill a datagram; a batch of this size is
	// sent without further delay.
	maxBatchMessages = 24
)

// change is an event that is sent to the other hosts with no delay except that of batching: a
// fault, a crash, an upstream that is leaving, or one that is gone if none of these is set.
type change struct {
	gone    htcatalog.Ref
	fault   *htselect.Fault
	crash   *htroute.CrashCount
	leaving *htselect.Incarnation
}

// queueChange queues a change for sendChanges. It does not block; a change that finds the
// queue full is dropped and counted.
func (e *Entry) queueChange(c change) {
	select {
	case e.changes <- c:
	default:
		e.metrics.changesDropped.Add(1)
	}
}

// sendChanges sends queued changes to the other hosts until ctx ends.
func (e *Entry) sendChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-e.changes:
			if err := sleep(ctx, changeBatchDelay); err != nil {
				return err
			}
			e.sendViaHub(e.collectChanges(first))
		}
	}
}

// collectChanges returns one message with the first change and the queued ones, up to
// maxQueuedChanges/8 of them.
func (e *Entry) collectChanges(first change) htgossip.Message {
	m := e.newMessage()
	add := func(c change) {
		switch {
		case c.fault != nil:
			m.Faults = append(m.Faults, htgossip.Fault{Upstream: c.fault.Upstream, Percent: uint8(100 * c.fault.Weight)})
		case c.crash != nil:
			m.Crashes = append(m.Crashes, *c.crash)
		case c.leaving != nil:
			m.Leaving = append(m.Leaving, htgossip.Incarnation{Upstream: c.leaving.Upstream, Started: c.leaving.Started})
		default:
			m.Gone = append(m.Gone, c.gone)
		}
	}
	add(first)
	for len(e.changes) > 0 && len(m.Gone)+len(m.Faults)+len(m.Crashes)+len(m.Leaving) < maxQueuedChanges/8 {
		add(<-e.changes)
	}
	return m
}

// sendViaHub sends a message of this host to all others via the hub.
func (e *Entry) sendViaHub(m htgossip.Message) {
	now := e.timers.Now()
	e.mu.Lock()
	hub, _ := e.group.Hubs(now)
	e.mu.Unlock()
	if hub.Address == e.settings.Self.Address {
		e.queueForForwarding(m)
		return
	}
	e.sendMessages(htgossip.ScopeAll, []htgossip.Message{m}, []htgroup.Member{hub})
}

// forwardDatagram forwards the messages of a datagram if its scope requires it. Messages of
// another hub were batched there, so they are forwarded without delay.
func (e *Entry) forwardDatagram(d *htgossip.Datagram) {
	switch d.Scope {
	case htgossip.ScopeAll:
		for _, m := range d.Messages {
			e.queueForForwarding(m)
		}
	case htgossip.ScopeDomain:
		e.mu.Lock()
		peers := e.group.DomainPeers(e.timers.Now())
		e.mu.Unlock()
		e.sendMessages(htgossip.ScopeNone, d.Messages, peers)
	}
}

// queueForForwarding queues a message for the next datagram of the hub. It does not block; a
// message that finds the queue full is dropped and counted.
func (e *Entry) queueForForwarding(m htgossip.Message) {
	select {
	case e.forwardQueue <- m:
	default:
		e.metrics.changesDropped.Add(1)
	}
}

// forwardMessages sends the batches of the hub to the hosts of this failure domain and to the
// hubs of the others, until ctx ends.
func (e *Entry) forwardMessages(ctx context.Context) error {
	for {
		messages, err := e.collectBatch(ctx)
		if err != nil {
			return err
		}
		e.mu.Lock()
		now := e.timers.Now()
		peers := e.group.DomainPeers(now)
		_, otherHubs := e.group.Hubs(now)
		e.mu.Unlock()
		e.sendMessages(htgossip.ScopeNone, messages, peers)
		e.sendMessages(htgossip.ScopeDomain, messages, otherHubs)
	}
}

// collectBatch returns the next messages to send in one datagram: maxBatchMessages of them,
// or those that came up to urgentBatchDelay after the first urgent one, or up to
// heartbeatBatchDelay after the first if none is urgent.
func (e *Entry) collectBatch(ctx context.Context) ([]htgossip.Message, error) {
	var messages []htgossip.Message
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	urgent := false
	for len(messages) < maxBatchMessages {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return messages, nil
		case m := <-e.forwardQueue:
			messages = append(messages, m)
			switch urgentMessage := e.isUrgent(&m); {
			case urgentMessage && !urgent:
				urgent = true
				timer.Reset(urgentBatchDelay)
			case len(messages) == 1:
				timer.Reset(heartbeatBatchDelay)
			}
		}
	}
	return messages, nil
}

// isUrgent reports whether a message is forwarded after urgentBatchDelay: it is not a
// heartbeat, or a heartbeat of a leaving host or with a newer position than was forwarded
// before. It records the position as forwarded.
func (e *Entry) isUrgent(m *htgossip.Message) bool {
	if m.Status == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	position := m.Status.Position()
	newer := e.forwarded.Behind(position)
	e.forwarded = e.forwarded.Max(position)
	return newer || m.Status.Leaving
}

// sendMessages sends messages to hosts directly, in as many datagrams as MaxDatagram requires.
func (e *Entry) sendMessages(scope htgossip.Scope, messages []htgossip.Message, to []htgroup.Member) {
	if len(to) == 0 {
		return
	}
	d := &htgossip.Datagram{Scope: scope, Messages: messages}
	data, err := d.Encode()
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "message-not-encoded"}).WithError(err).Error("message to other hosts dropped: encoding failed")
		return
	}
	if half := len(messages) / 2; len(data) > htgossip.MaxDatagram && half > 0 {
		e.sendMessages(scope, messages[:half], to)
		e.sendMessages(scope, messages[half:], to)
		return
	}
	addresses := make([]netip.AddrPort, len(to))
	for i, p := range to {
		addresses[i] = p.Address
	}
	e.metrics.datagrams.Add(len(to))
	e.gossip.Send(data, addresses...)
}
