package htentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htgroup"
	"hawthornturn/core/htusage"
	"hawthornturn/io/htgossip"
)

// shareUsage exchanges the use of accounts with the other hosts until ctx ends. It sleeps while
// no account has a limit.
func (e *Entry) shareUsage(ctx context.Context) error {
	var hub htgroup.Member
	for {
		if !e.usage.Limits() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-e.usageLimited:
			}
		}
		var next time.Duration
		hub, next = e.exchangeUsage(hub)
		if err := sleep(ctx, next); err != nil {
			return err
		}
	}
}

// exchangeUsage tells others what is due, given the hub of before. It returns the hub and the
// time until the next call.
func (e *Entry) exchangeUsage(before htgroup.Member) (htgroup.Member, time.Duration) {
	now := e.timers.Now()
	e.mu.Lock()
	hub := e.group.HubAfter(now, before)
	peers := e.group.DomainPeers(now)
	candidates := e.group.HubCandidates(now)
	reach := e.group.Reach(now, func(domain string) bool { return e.usage.Hears(now, domain) })
	e.mu.Unlock()
	if hub.Address == e.settings.Self.Address {
		hubs, hosts := e.usage.Settle(now, e.usageSource(), reach)
		e.sendUsage(hubs, candidates)
		e.sendUsage(hosts, peers)
		return hub, htusage.SettleInterval
	}
	own, sums := e.usage.Report(now, uint32(htgossip.PeerIDOf(hub.Address.Addr())))
	e.sendUsage(own, []htgroup.Member{hub})
	e.sendUsage(sums, candidates)
	return hub, htusage.ReportInterval(e.usage.Near(now), len(peers)+1)
}

// usageSource identifies this process.
func (e *Entry) usageSource() htusage.Source {
	return htusage.Source{Host: uint32(htgossip.PeerIDOf(e.settings.Self.Address.Addr())), Incarnation: e.incarnation}
}

func (e *Entry) sendUsage(n *htusage.News, to []htgroup.Member) {
	if n == nil {
		return
	}
	for _, part := range n.Split(maxUsageEntries) {
		m := e.newDirectMessage()
		m.Usage = part
		e.sendMessages(htgossip.ScopeNone, []htgossip.Message{m}, to)
	}
}

// maxUsageEntries is the number of counts and levels that fit into a datagram. A count takes at
// most 25 bytes and a level 21.
const maxUsageEntries = (htgossip.MaxDatagram - 100) / 25

// applyUsage records news of the use of accounts.
func (e *Entry) applyUsage(now time.Time, m *htgossip.Message) {
	e.usage.Apply(now, htusage.Source{Host: uint32(m.Origin), Incarnation: m.Incarnation}, m.Usage)
}

// setAccounts puts the limits of the accounts of a configuration into force and wakes
// shareUsage. The caller holds e.mu.
func (e *Entry) setAccounts(now time.Time) {
	e.usage.SetAccounts(now, e.config.Accounts)
	select {
	case e.usageLimited <- struct{}{}:
	default:
	}
}

// addUsage adds why a call is beyond the limit of its account: the limit, the share of the calls
// that this host admits, and the age of the news by which it was decided.
func addUsage(fields logrus.Fields, r *htusage.Refusal) {
	fields["limit-per-s"], fields["limit-burst"] = r.Limit.PerSecond, r.Limit.Burst
	fields["share"], fields["age-ms"] = percent(r.Share), milliseconds(r.Age)
}
