package htpeer

import (
	"context"

	"hawthornturn/core/htpath"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

// Paths of control messages.
const (
	pathHeartbeat = "/heartbeat"
	pathRenew     = "/renew"
	pathRelease   = "/release"
	pathSnapshot  = "/snapshot"
	pathPush      = "/push"
	pathKeyEnd    = "/key-end"
	pathSlotEnd   = "/slot-end"
)

// Empty is the request or response of a message without content.
type Empty struct{}

// MembershipHandler handles the membership messages of other hosts. htview.Manager
// implements it.
type MembershipHandler interface {
	HandleHeartbeat(hb htview.Heartbeat) htview.HeartbeatReply
	HandleRenew(ctx context.Context, lease htview.Lease) error
	HandleRelease(r htview.Release) error
}

// HandleMembers registers the handlers of membership messages.
func (s *Server) HandleMembers(members MembershipHandler) {
	s.handle(pathHeartbeat, Handle(func(_ context.Context, hb htview.Heartbeat) (htview.HeartbeatReply, error) {
		return members.HandleHeartbeat(hb), nil
	}))
	s.handle(pathRenew, Handle(func(ctx context.Context, lease htview.Lease) (Empty, error) {
		return Empty{}, members.HandleRenew(ctx, lease)
	}))
	s.handle(pathRelease, Handle(func(_ context.Context, r htview.Release) (Empty, error) {
		return Empty{}, members.HandleRelease(r)
	}))
}

// Heartbeat implements htview.Peers.
func (c *Client) Heartbeat(ctx context.Context, to htview.Member, hb htview.Heartbeat) (htview.HeartbeatReply, error) {
	return exchange[htview.Heartbeat, htview.HeartbeatReply](ctx, c, to.Address, pathHeartbeat, hb)
}

// Renew implements htview.Peers.
func (c *Client) Renew(ctx context.Context, to htview.Member, lease htview.Lease) error {
	_, err := exchange[htview.Lease, Empty](ctx, c, to.Address, pathRenew, lease)
	return err
}

// Release implements htview.Peers.
func (c *Client) Release(ctx context.Context, to htview.Member, r htview.Release) error {
	_, err := exchange[htview.Release, Empty](ctx, c, to.Address, pathRelease, r)
	return err
}

// SnapshotHandler handles the configuration messages of other hosts.
type SnapshotHandler interface {
	// Snapshot returns the declared state that this host has applied, or nil if none.
	Snapshot() *htresource.Set
	// ApplyIfNewer applies a declared state unless a newer one has been applied.
	ApplyIfNewer(set *htresource.Set) error
}

// HandleSnapshots registers the handlers of configuration messages.
func (s *Server) HandleSnapshots(snapshots SnapshotHandler) {
	s.handle(pathSnapshot, Handle(func(context.Context, Empty) (*htresource.Set, error) {
		return snapshots.Snapshot(), nil
	}))
	s.handle(pathPush, Handle(func(_ context.Context, set *htresource.Set) (Empty, error) {
		return Empty{}, snapshots.ApplyIfNewer(set)
	}))
}

// FetchSnapshot returns the declared state that the peer at address has applied, or nil if
// none.
func (c *Client) FetchSnapshot(ctx context.Context, address string) (*htresource.Set, error) {
	return exchange[Empty, *htresource.Set](ctx, c, address, pathSnapshot, Empty{})
}

// PushSnapshot sends a declared state to the peer at address.
func (c *Client) PushSnapshot(ctx context.Context, address string, set *htresource.Set) error {
	_, err := exchange[*htresource.Set, Empty](ctx, c, address, pathPush, set)
	return err
}

// KeyResultHandler handles the reports of previous owners of key partitions.
// htpath.KeyOwner implements it.
type KeyResultHandler interface {
	HandleKeyResult(report htpath.KeyResult) error
}

// SlotReleaseHandler handles the reports of previous owners of pool shards. htpath.Shards
// implements it.
type SlotReleaseHandler interface {
	HandleSlotRelease(report htpath.SlotRelease) error
}

// HandleHandoverReports registers the handlers of the reports that follow when a key
// partition or a pool shard changes owner: the previous owner reports to the new one how
// requests ended that were in flight.
func (s *Server) HandleHandoverReports(keyResults KeyResultHandler, slotReleases SlotReleaseHandler) {
	s.handle(pathKeyEnd, Handle(func(_ context.Context, report htpath.KeyResult) (Empty, error) {
		return Empty{}, keyResults.HandleKeyResult(report)
	}))
	s.handle(pathSlotEnd, Handle(func(_ context.Context, report htpath.SlotRelease) (Empty, error) {
		return Empty{}, slotReleases.HandleSlotRelease(report)
	}))
}

// SendKeyResult implements htpath.HandoverPeers.
func (c *Client) SendKeyResult(ctx context.Context, to htview.Member, report htpath.KeyResult) error {
	_, err := exchange[htpath.KeyResult, Empty](ctx, c, to.Address, pathKeyEnd, report)
	return err
}

// SendSlotRelease implements htpath.HandoverPeers.
func (c *Client) SendSlotRelease(ctx context.Context, to htview.Member, report htpath.SlotRelease) error {
	_, err := exchange[htpath.SlotRelease, Empty](ctx, c, to.Address, pathSlotEnd, report)
	return err
}
