package htview

import (
	"context"
	"time"
)

// Gossip is the data of other packages that is sent with heartbeats and their
// replies.
type Gossip struct {
	AppliedRevision uint64 `json:"applied-revision" cbor:"applied-revision"` // configuration revision
	Crashes         []byte `json:"crash-counts,omitempty" cbor:"crash-counts,omitempty"`
	Leaving         bool   `json:"leaving,omitempty" cbor:"leaving,omitempty"`
}

// GossipSource supplies outgoing gossip and receives that of other members.
type GossipSource interface {
	Outgoing(now time.Time) Gossip
	Incoming(now time.Time, from Member, g Gossip)
}

// Heartbeat tells a member that the sender is alive and reports its state.
type Heartbeat struct {
	From     Member        `json:"from" cbor:"from"`
	View     uint64        `json:"view" cbor:"view"`                           // active view number: the sender serves no shard that it owns only in older views
	Stopped  bool          `json:"stopped,omitempty" cbor:"stopped,omitempty"` // the sender serves no shards and changes no view any more
	TableAge time.Duration `json:"table-age" cbor:"table-age"`                 // time since the last reply from the table service
	Gossip   Gossip        `json:"gossip" cbor:"gossip"`
}

// HeartbeatReply is the reply to a heartbeat. Fields that Heartbeat has as well have
// the same meaning.
type HeartbeatReply struct {
	From        Member        `json:"from" cbor:"from"`
	View        uint64        `json:"view" cbor:"view"`
	NewerView   *View         `json:"newer,omitempty" cbor:"newer,omitempty"` // newest view; nil unless the view of the heartbeat's sender is older
	SettledView uint64        `json:"settled" cbor:"settled"`                 // see Manager.settled
	Stopped     bool          `json:"stopped,omitempty" cbor:"stopped,omitempty"`
	TableAge    time.Duration `json:"table-age" cbor:"table-age"`
	Hold        bool          `json:"hold" cbor:"hold"` // promise to remove no member for the hold duration
	Gossip      Gossip        `json:"gossip" cbor:"gossip"`
}

// Lease is the value of a lease row.
type Lease struct {
	Host        string `json:"host" cbor:"host"`
	Incarnation string `json:"incarnation" cbor:"incarnation"`
	Sequence    uint64 `json:"sequence" cbor:"sequence"`
	View        uint64 `json:"view" cbor:"view"` // active view number: the host serves no shard that it owns only in older views
}

// Release transfers a shard, which the sender has stopped serving, to its owner in View.
// SenderStopped is set only if the sender has stopped for good while it is still a member
// of View, because it could not change the view. The release then goes to the member that
// owns the shard in View without the sender. A planned stop that changed the view does not
// set it.
type Release struct {
	From          Member `json:"from" cbor:"from"`
	Shard         Shard  `json:"shard" cbor:"shard"`
	View          View   `json:"view" cbor:"view"`
	SenderStopped bool   `json:"final,omitempty" cbor:"final,omitempty"` // the sender, still a member of View, has stopped for good
	State         []byte `json:"state" cbor:"state"`
}

// recipient returns the member that the release is addressed to. It includes the
// incarnation, so that a process started later at the same address does not accept
// the release. It is the zero Member if the view has no other member.
func (r Release) recipient() Member {
	view := r.View
	if r.SenderStopped {
		view = view.Without(r.From.Host)
	}
	owner, _ := view.Owner(r.Shard)
	return owner
}

// Peers sends messages to other members. Errors wrap ErrConnectionRefused when
// the address refuses connections.
type Peers interface {
	Heartbeat(ctx context.Context, to Member, hb Heartbeat) (HeartbeatReply, error)
	Renew(ctx context.Context, to Member, lease Lease) error
	Release(ctx context.Context, to Member, r Release) error
}

// HostState is the state of a host in the platform's host list.
type HostState string

// The states of the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	Name  string    `json:"name"`
	State HostState `json:"state"`
}

// HostList reads the platform's host list, which may be out of date or wrong.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// Handover starts and stops the serving of shards on this host. Its methods may call
// View, Owner, Serving and LeaseUntil of the Manager; they must not wait for its
// other methods.
type Handover interface {
	// Collect stops serving the shard and returns the state for the new owner.
	Collect(s Shard) []byte
	// Install starts serving the shard. A nil state means that the lease of the
	// previous owner expired or that it sent no state: the shard starts with empty
	// state.
	Install(s Shard, state []byte)
	// Drop stops serving the shard and discards its state.
	Drop(s Shard)
}
