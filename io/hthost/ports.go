package hthost

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htpath"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htview"
	"hawthornturn/io/htpeer"
	"hawthornturn/io/htplatform"
)

// hostListPeriod is the time between reads of the host list for leaving upstreams.
const hostListPeriod = time.Second

// hostList adapts the platform's host list to membership.
type hostList struct {
	list *htplatform.HostList
}

// Hosts implements htview.HostList.
func (l *hostList) Hosts(ctx context.Context) ([]htview.ListedHost, error) {
	listed, err := l.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	hosts := make([]htview.ListedHost, len(listed))
	for i, h := range listed {
		hosts[i] = htview.ListedHost{Name: h.Name, State: htview.HostState(h.State)}
	}
	return hosts, nil
}

// watchHostList passes on which upstreams the platform marks as leaving. Names of
// upstreams and of hosts share the platform's list.
func (h *Host) watchHostList(ctx context.Context) error {
	tick := h.timers.Subscribe("host-list", hostListPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			h.readLeaving(ctx)
		}
	}
}

func (h *Host) readLeaving(ctx context.Context) {
	hosts, err := h.hostList.Hosts(ctx)
	if err != nil {
		h.log("host-list-failed").WithError(err).Debug("host list not read")
		return
	}
	leaving := map[string]bool{}
	for _, listed := range hosts {
		if listed.State == htview.HostLeaving {
			leaving[listed.Name] = true
		}
	}
	h.shards.SetLeaving(leaving)
}

// gossip sends the applied revision and the crash counts along with heartbeats.
type gossip struct {
	quarantine *htpath.Quarantine
	follower   *htconfig.Follower
}

// Outgoing implements htview.GossipSource.
func (g *gossip) Outgoing(now time.Time) htview.Gossip {
	out := htview.Gossip{AppliedRevision: g.follower.Applied()}
	if counts := g.quarantine.Export(now); len(counts) > 0 {
		// Marshalling plain structs of strings and numbers does not fail.
		out.Crashes, _ = cbor.Marshal(counts)
	}
	return out
}

// Incoming implements htview.GossipSource.
func (g *gossip) Incoming(now time.Time, _ htview.Member, in htview.Gossip) {
	if len(in.Crashes) == 0 {
		return
	}
	var counts []htroute.CrashCount
	if err := cbor.Unmarshal(in.Crashes, &counts); err == nil {
		g.quarantine.Merge(now, counts)
	}
}

// others lists the hosts that could still send work.
type others struct {
	manager *htview.Manager
}

// Others implements htconfig.Hosts.
func (o *others) Others() []htconfig.HostRevision {
	var list []htconfig.HostRevision
	for _, p := range o.manager.PeerStates() {
		if p.Gone || (!p.InView && p.LeaseExpired) {
			continue
		}
		list = append(list, htconfig.HostRevision{Host: p.Member.Host, Applied: p.AppliedRevision})
	}
	return list
}

// snapshots exchanges the declared state with other hosts.
type snapshots struct {
	manager *htview.Manager
	peers   *htpeer.Client
}

// errUnknownHost means that a host is not among those heard of.
var errUnknownHost = errors.New("address of the host is not known")

// Fetch implements htconfig.Snapshots.
func (s *snapshots) Fetch(ctx context.Context, host string) (*htresource.Set, error) {
	for _, p := range s.manager.PeerStates() {
		if p.Member.Host == host && !p.Gone {
			return s.peers.FetchSnapshot(ctx, p.Member.Address)
		}
	}
	return nil, fmt.Errorf("%w: %s", errUnknownHost, host)
}

// Push implements htconfig.Snapshots.
func (s *snapshots) Push(ctx context.Context, set *htresource.Set) error {
	var mu sync.Mutex
	var failed []error
	var wait sync.WaitGroup
	for _, p := range s.manager.PeerStates() {
		if p.Gone {
			continue
		}
		wait.Go(func() {
			if err := s.peers.PushSnapshot(ctx, p.Member.Address, set); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, fmt.Errorf("push to %s: %w", p.Member.Host, err))
			}
		})
	}
	wait.Wait()
	return errors.Join(failed...)
}

// snapshotServer answers the configuration messages of other hosts.
type snapshotServer struct {
	follower *htconfig.Follower
}

// Snapshot implements htpeer.SnapshotHandler.
func (s *snapshotServer) Snapshot() *htresource.Set {
	return s.follower.Current()
}

// ApplyIfNewer implements htpeer.SnapshotHandler.
func (s *snapshotServer) ApplyIfNewer(set *htresource.Set) error {
	if set == nil {
		return errors.New("no set in the message")
	}
	if err := set.Check().Err(); err != nil {
		return err
	}
	s.follower.HandlePush(set)
	return nil
}
