package htpath

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htview"
)

// CallHandler handles calls on the host that the caller connected to, and passes
// calls that other hosts forwarded to the part of the host they are meant for.
type CallHandler struct {
	self      string
	ownership Ownership
	peers     Peers
	keys      *KeyOwner
	router    *Router
	local     LocalShards
	now       func() time.Time
}

// NewCallHandler returns the CallHandler of the host named self.
func NewCallHandler(self string, ownership Ownership, peers Peers, keys *KeyOwner, router *Router, local LocalShards, now func() time.Time) *CallHandler {
	return &CallHandler{self: self, ownership: ownership, peers: peers, keys: keys, router: router, local: local, now: now}
}

// HandleCall runs a call that a caller sent to this host.
func (h *CallHandler) HandleCall(ctx context.Context, call *Call) *Answer {
	if call.Meta.Key == "" {
		return h.router.Route(ctx, call)
	}
	return h.handleKeyed(ctx, call)
}

// HandleForwarded runs a call that another host forwarded to this host in the given
// role.
func (h *CallHandler) HandleForwarded(ctx context.Context, role Role, call *Call) *Answer {
	switch role {
	case RoleKeyOwner:
		return h.keys.Call(ctx, call)
	case RoleDispatcher:
		shard, err := htview.ParseShard(call.Meta.Shard)
		if err != nil {
			return Refusal(htcall.ReasonBadRequest)
		}
		dispatcher := h.local.Dispatcher(shard)
		if dispatcher == nil {
			return Refusal(htcall.ReasonMoved)
		}
		return dispatcher.Call(ctx, call)
	default:
		return Refusal(htcall.ReasonBadRequest)
	}
}

// handleKeyed sends the call to the owner of its key, with retries until the deadline.
// Retries are safe, because the owner runs a key at most once. Only the owner may
// answer not-run: an earlier copy may have arrived through another host, so without
// the owner's answer the outcome is unknown.
func (h *CallHandler) handleKeyed(ctx context.Context, call *Call) *Answer {
	shard := htview.KeyShard(call.Meta.Service, call.Meta.Key)
	for {
		answer := h.callKeyOwner(ctx, call, shard)
		if answer != nil {
			return answer
		}
		if !call.Body.Replayable() || !h.router.pauseForHandover(ctx, call) {
			return UnknownOutcome(htcall.ReasonOwnerLost)
		}
	}
}

// callKeyOwner sends the call to the current owner of its key. It returns nil if the
// call should be retried.
func (h *CallHandler) callKeyOwner(ctx context.Context, call *Call, shard htview.Shard) *Answer {
	owner, ok := h.ownership.Owner(shard)
	if !ok {
		return nil
	}
	if owner.Host == h.self {
		return retryIfMoved(h.keys.Call(ctx, call))
	}
	forwarded := *call
	forwarded.Deadline = call.Deadline.Add(-forwardMargin)
	forwarded.Meta.Remaining = forwarded.Remaining(h.now())
	answer, err := h.peers.Forward(ctx, owner, RoleKeyOwner, &forwarded)
	if err == nil {
		return retryIfMoved(answer)
	}
	logrus.WithFields(logrus.Fields{
		"event": "key-forward-failed", "host": owner.Host, "shard": shard.String(), "call": call.Meta.ID, "error": err,
	}).Warn("forwarding a keyed call to the owner of its key failed")
	if errors.Is(err, context.DeadlineExceeded) {
		return UnknownOutcome(htcall.ReasonDeadline)
	}
	return nil
}

func retryIfMoved(answer *Answer) *Answer {
	if answer.Outcome == htcall.Unknown && answer.Reason == htcall.ReasonMoved {
		answer.Discard()
		return nil
	}
	return answer
}
