package htpath

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

// Role names the part of an entry host that handles a forwarded call.
type Role string

// Roles of forwarded calls.
const (
	RoleKeyOwner   Role = "key-owner"
	RoleDispatcher Role = "dispatcher"
)

// Errors that implementations of Peers and Upstreams return.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrSilent means that an open connection timed out without data from the peer.
	ErrSilent = errors.New("connection timed out without data from the peer")
)

// Peers forwards calls to other entry hosts.
type Peers interface {
	// Forward sends the call to a member and returns its answer. An error that wraps
	// ErrNotSent means that the member did not receive the call; after any other error
	// it may have received it.
	Forward(ctx context.Context, to htview.Member, role Role, call *Call) (*Answer, error)
}

// UpstreamAnswer is an upstream's answer after its header has been received. The body
// is still to be read.
type UpstreamAnswer struct {
	Status  int
	Header  http.Header
	Trailer func() http.Header
	Body    io.ReadCloser
	Report  htdispatch.Report
	Work    time.Duration // time from sending the request to receiving the answer's header
	Refused bool          // the upstream refused the request without starting it
}

// Upstreams sends calls to upstreams.
type Upstreams interface {
	// Send sends the call and returns the answer once its header has been received. The
	// upstream gets deadline as the deadline of the request. An error that wraps
	// ErrNotSent means that no byte was sent; one that wraps ErrSilent means that the
	// connection timed out.
	Send(ctx context.Context, to htresource.Upstream, deadline time.Time, call *Call) (*UpstreamAnswer, error)
	// Probe requests the current state of the upstream.
	Probe(ctx context.Context, to htresource.Upstream) (htdispatch.Report, error)
}

// Ownership reports which host owns a shard. htview.Manager implements it.
type Ownership interface {
	View() htview.View
	Owner(s htview.Shard) (htview.Member, bool)
	// Serving reports whether this host owns the shard, the previous owner no longer
	// serves it, and this host's lease is valid now.
	Serving(s htview.Shard) bool
	// LeaseUntil returns the end of this host's lease, or the zero time if it has none.
	LeaseUntil(now time.Time) time.Time
}

// DeclaredState provides the declared state that this host has applied.
type DeclaredState interface {
	// Current returns nil until the first set has been received.
	Current() *htresource.Set
}
