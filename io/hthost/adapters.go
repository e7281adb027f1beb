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

// hostListInterval is the time between reads of the host list that find leaving upstreams.
const hostListInterval = time.Second

// hostListAdapter implements htview.HostList with the platform's host list.
type hostListAdapter struct {
	list *htplatform.HostList
}

// Hosts implements htview.HostList.
func (l *hostListAdapter) Hosts(ctx context.Context) ([]htview.ListedHost, error) {
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

// watchHostList updates the leaving upstreams every hostListInterval until ctx ends. The
// platform's list contains the names of both upstreams and hosts.
func (h *Host) watchHostList(ctx context.Context) error {
	tick := h.timers.Subscribe("host-list", hostListInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			h.updateLeavingUpstreams(ctx)
		}
	}
}

// updateLeavingUpstreams passes the names that the host list marks as leaving to the shards.
// If the list can't be read, the earlier names stay.
func (h *Host) updateLeavingUpstreams(ctx context.Context) {
	hosts, err := h.platformHosts.Hosts(ctx)
	if err != nil {
		h.log("host-list-failed").WithError(err).Debug("reading the host list failed")
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

// heartbeatGossip adds the applied revision and the crash counts to heartbeats, and merges the
// crash counts of other hosts.
type heartbeatGossip struct {
	quarantine *htpath.Quarantine
	follower   *htconfig.Follower
}

// Outgoing implements htview.GossipSource.
func (g *heartbeatGossip) Outgoing(now time.Time) htview.Gossip {
	out := htview.Gossip{AppliedRevision: g.follower.Applied()}
	if counts := g.quarantine.Export(now); len(counts) > 0 {
		// Marshalling structs of strings and numbers does not fail.
		out.Crashes, _ = cbor.Marshal(counts)
	}
	return out
}

// Incoming implements htview.GossipSource.
func (g *heartbeatGossip) Incoming(now time.Time, _ htview.Member, in htview.Gossip) {
	if len(in.Crashes) == 0 {
		return
	}
	var counts []htroute.CrashCount
	if err := cbor.Unmarshal(in.Crashes, &counts); err == nil {
		g.quarantine.Merge(now, counts)
	}
}

// otherHosts lists the other hosts that may still send calls to upstreams.
type otherHosts struct {
	manager *htview.Manager
}

// Others implements htconfig.Hosts.
func (o *otherHosts) Others() []htconfig.HostRevision {
	var hosts []htconfig.HostRevision
	for _, p := range o.manager.PeerStates() {
		if p.Ended || (!p.InView && p.LeaseExpired) {
			continue
		}
		hosts = append(hosts, htconfig.HostRevision{Host: p.Member.Host, Applied: p.AppliedRevision})
	}
	return hosts
}

// snapshotExchange implements htconfig.Snapshots: it exchanges snapshots of the declared state
// with other hosts.
type snapshotExchange struct {
	manager *htview.Manager
	peers   *htpeer.Client
}

// errUnknownHost means that a host is not among the known peers, or is gone.
var errUnknownHost = errors.New("address of the host is not known")

// Fetch implements htconfig.Snapshots.
func (s *snapshotExchange) Fetch(ctx context.Context, host string) (*htresource.Set, error) {
	for _, p := range s.manager.PeerStates() {
		if p.Member.Host == host && !p.Ended {
			return s.peers.FetchSnapshot(ctx, p.Member.Address)
		}
	}
	return nil, fmt.Errorf("%w: %s", errUnknownHost, host)
}

// Push implements htconfig.Snapshots.
func (s *snapshotExchange) Push(ctx context.Context, set *htresource.Set) error {
	var mu sync.Mutex
	var errs []error
	var group sync.WaitGroup
	for _, p := range s.manager.PeerStates() {
		if p.Ended {
			continue
		}
		group.Go(func() {
			if err := s.peers.PushSnapshot(ctx, p.Member.Address, set); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, fmt.Errorf("push to %s: %w", p.Member.Host, err))
			}
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// snapshotHandler handles the snapshot requests of other hosts.
type snapshotHandler struct {
	follower *htconfig.Follower
}

// Snapshot implements htpeer.SnapshotHandler.
func (s *snapshotHandler) Snapshot() *htresource.Set {
	return s.follower.Current()
}

// ApplyIfNewer implements htpeer.SnapshotHandler.
func (s *snapshotHandler) ApplyIfNewer(set *htresource.Set) error {
	if set == nil {
		return errors.New("snapshot message contains no declared state")
	}
	if err := set.Check().Err(); err != nil {
		return err
	}
	s.follower.HandlePush(set)
	return nil
}
