package htpath

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htview"
)

// CallHandler is the first stop of a call, on the host that the caller reached, and
// the place where calls that other hosts forwarded are handed to their role.
type CallHandler struct {
	self   string
	own    Ownership
	peers  Peers
	keys   *KeyOwner
	router *Router
	local  LocalShards
	now    func() time.Time
}

// NewCallHandler returns the entrance of the host named self.
func NewCallHandler(self string, own Ownership, peers Peers, keys *KeyOwner, router *Router, local LocalShards, now func() time.Time) *CallHandler {
	return &CallHandler{self: self, own: own, peers: peers, keys: keys, router: router, local: local, now: now}
}

// HandleCall runs a call of a caller.
func (e *CallHandler) HandleCall(ctx context.Context, call *Call) *Answer {
	if call.Meta.Key == "" {
		return e.router.Route(ctx, call)
	}
	return e.enterKeyed(ctx, call)
}

// HandleForwarded runs a call that another host forwarded in a role.
func (e *CallHandler) HandleForwarded(ctx context.Context, role Role, call *Call) *Answer {
	switch role {
	case RoleKeyOwner:
		return e.keys.Call(ctx, call)
	case RoleDispatcher:
		shard, err := htview.ParseShard(call.Meta.Shard)
		if err != nil {
			return Refusal(htcall.ReasonBadRequest)
		}
		dispatcher := e.local.Dispatcher(shard)
		if dispatcher == nil {
			return Refusal(htcall.ReasonMoved)
		}
		return dispatcher.Call(ctx, call)
	default:
		return Refusal(htcall.ReasonBadRequest)
	}
}

// enterKeyed takes the call to the owner of its key. Sending it again is safe,
// because the owner runs a key once. Only the owner may say that it did not run:
// an earlier copy may have come through another host.
func (e *CallHandler) enterKeyed(ctx context.Context, call *Call) *Answer {
	shard := htview.KeyShard(call.Meta.Service, call.Meta.Key)
	for {
		answer := e.tryKeyOwner(ctx, call, shard)
		if answer != nil {
			return answer
		}
		if !call.Body.Replayable() || !e.router.pause(ctx, call) {
			return UnknownOutcome(htcall.ReasonOwnerLost)
		}
	}
}

// tryKeyOwner returns nil if the call should be tried again.
func (e *CallHandler) tryKeyOwner(ctx context.Context, call *Call, shard htview.Shard) *Answer {
	owner, ok := e.own.Owner(shard)
	if !ok {
		return nil
	}
	if owner.Host == e.self {
		return retryIfMoved(e.keys.Call(ctx, call))
	}
	forwarded := *call
	forwarded.Deadline = call.Deadline.Add(-forwardMargin)
	forwarded.Meta.Remaining = forwarded.Remaining(e.now())
	answer, err := e.peers.Forward(ctx, owner, RoleKeyOwner, &forwarded)
	if err == nil {
		return retryIfMoved(answer)
	}
	logrus.WithFields(logrus.Fields{
		"event": "key-forward-failed", "host": owner.Host, "shard": shard.String(), "call": call.Meta.ID, "error": err,
	}).Warn("keyed call not forwarded")
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
