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

// Role is the part of an entry host that a forwarded call is for.
type Role string

// The roles that take forwarded calls.
const (
	RoleKeyOwner   Role = "key-owner"
	RoleDispatcher Role = "dispatcher"
)

// Errors of the ports.
var (
	// ErrNotSent means that no byte of the request left this host.
	ErrNotSent = errors.New("request not sent")
	// ErrSilent means that the other end stopped answering on an open connection.
	ErrSilent = errors.New("connection went silent")
)

// Peers forwards calls to other entry hosts.
type Peers interface {
	// Forward sends the call to a member. An error that wraps ErrNotSent means that
	// the member did not get it; after any other error it may have.
	Forward(ctx context.Context, to htview.Member, role Role, call *Call) (*Answer, error)
}

// UpstreamAnswer is the head of an upstream's answer.
type UpstreamAnswer struct {
	Status  int
	Header  http.Header
	Trailer func() http.Header
	Body    io.ReadCloser
	Report  htdispatch.Report
	Work    time.Duration // from the request being sent to the head of the answer
	Refused bool          // the upstream refused the request without starting it
}

// Upstreams sends calls to upstreams.
type Upstreams interface {
	// Send sends the call and returns the head of the answer. The upstream is told
	// to give up at deadline. An error that wraps ErrNotSent means that no byte was
	// sent, one that wraps ErrSilent that the connection timed out.
	Send(ctx context.Context, to htresource.Upstream, deadline time.Time, call *Call) (*UpstreamAnswer, error)
	// Probe asks the upstream for its state.
	Probe(ctx context.Context, to htresource.Upstream) (htdispatch.Report, error)
}

// Ownership tells which host owns a shard. htview.Manager implements it.
type Ownership interface {
	View() htview.View
	Owner(s htview.Shard) (htview.Member, bool)
	// Serving reports whether this host owns the shard, its predecessor is done with
	// it, and the lease is valid now.
	Serving(s htview.Shard) bool
	// LeaseUntil returns the end of this host's lease; zero if it has none.
	LeaseUntil(now time.Time) time.Time
}

// DeclaredState gives the declared state that this host has applied.
type DeclaredState interface {
	// Current returns nil until the first set was obtained.
	Current() *htresource.Set
}
