package htentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htfair"
	"hawthornturn/core/htgroup"
	"hawthornturn/io/htgossip"
)

const (
	// demandInterval is the time between the pictures of demand that a host sends while calls of
	// accounts wait.
	demandInterval = 50 * time.Millisecond
	// demandIdleInterval is the time between checks whether accounts are declared.
	demandIdleInterval = time.Second
	// demandBytesPerSecond bounds the pictures that a host sends to its hub and gets from it. Larger
	// ones come less often.
	demandBytesPerSecond = 4 << 10
	// maxDemandBytes is the size in bytes above which fewer accounts are named, and then fewer
	// services, so that three hops of the largest pictures take less than pictures are valid.
	maxDemandBytes = 512
	// namedAccounts is the number of accounts of a class that a picture names.
	namedAccounts = 8
)

// exchangeDemand sends the demand on this host to the hub while calls of accounts wait, and as the hub
// the sums to the other hubs and to the hosts of this failure domain, until ctx ends. Nothing is
// sent if the configuration declares no accounts.
func (e *Entry) exchangeDemand(ctx context.Context) error {
	var next time.Time // when the bytes sent last allow the next picture
	for {
		interval := demandInterval
		if config := e.Catalog().Config; config == nil || !config.KeysRequired {
			interval = demandIdleInterval
		}
		if err := sleep(ctx, interval); err != nil {
			return err
		}
		now := e.timers.Now()
		demand := e.relay.Demand(now)
		e.mu.Lock()
		hub, otherHubs := e.group.Hubs(now)
		peers := e.group.DomainPeers(now)
		if hub.Address == e.settings.Self.Address && len(demand) > 0 {
			e.demands.SetHost(now, htfair.Sender(htgossip.PeerIDOf(e.settings.Self.Address.Addr())), demand)
		}
		domain, all := e.demands.Sums(now)
		e.mu.Unlock()
		size := 0
		switch isHub := hub.Address == e.settings.Self.Address; {
		case now.Before(next):
			continue
		case !isHub && len(demand) > 0:
			size = e.sendDemand(htgossip.DemandOfHost, demand, []htgroup.Member{hub})
		case isHub && len(all) > 0:
			if len(domain) > 0 {
				e.sendDemand(htgossip.DemandOfDomain, domain, otherHubs)
			}
			size = e.sendDemand(htgossip.DemandOfAll, all, peers)
			e.relay.SetDemand(now, all)
		}
		next = now.Add(time.Duration(size) * time.Second / demandBytesPerSecond)
	}
}

// sendDemand sends a picture, of which it removes what does not fit, and returns its size in bytes.
func (e *Entry) sendDemand(scope htgossip.DemandScope, p htfair.Picture, to []htgroup.Member) int {
	m, size, err := e.newDemand(scope, p)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "message-not-encoded"}).WithError(err).Error("demand not sent: encoding failed")
		return 0
	}
	e.sendMessages(htgossip.ScopeNone, []htgossip.Message{m}, to)
	return size
}

// newDemand returns the message of a picture, of which it removes what does not fit, and its size in
// bytes.
func (e *Entry) newDemand(scope htgossip.DemandScope, p htfair.Picture) (htgossip.Message, int, error) {
	m := e.newDirectMessage()
	size, err := setDemand(&m, scope, p)
	return m, size, err
}

// setDemand adds a picture to a message, and returns the size of its datagram in bytes. It removes
// accounts, and then services, from the picture until that is at most maxDemandBytes.
func setDemand(m *htgossip.Message, scope htgossip.DemandScope, p htfair.Picture) (int, error) {
	for most := namedAccounts; ; {
		p.KeepLargest(most)
		m.Demand = htgossip.NewDemand(scope, p)
		data, err := (&htgossip.Datagram{Messages: []htgossip.Message{*m}}).Encode()
		switch {
		case err != nil || len(data) <= maxDemandBytes || len(p) <= 1 && most == 0:
			return len(data), err
		case most > 0:
			most /= 2
		default:
			p.DropQuietest()
		}
	}
}

// applyDemand applies the demand of a message: a hub adds up what hosts and other hubs send, and the
// others use the sum of their hub.
func (e *Entry) applyDemand(now time.Time, m *htgossip.Message) {
	picture, from := m.Demand.Picture(), htfair.Sender(m.Origin)
	switch m.Demand.Scope {
	case htgossip.DemandOfHost:
		e.mu.Lock()
		e.demands.SetHost(now, from, picture)
		e.mu.Unlock()
	case htgossip.DemandOfDomain:
		e.mu.Lock()
		e.demands.SetDomain(now, from, picture)
		e.mu.Unlock()
	case htgossip.DemandOfAll:
		e.relay.SetDemand(now, picture)
	}
}
