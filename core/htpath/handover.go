package htpath

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htview"
)

const (
	// endTimeout bounds one report of an end to a shard's new owner.
	endTimeout = time.Second
	// endLimit is how long reports are tried until one gets through. The first may come
	// before the new owner has installed the shard, which takes seconds on a busy
	// machine. It is a lease's default duration: an owner that installs later has
	// waited for the lease to lapse.
	endLimit = 5 * time.Second
	endPause = 50 * time.Millisecond
)

// KeyResult tells the new owner of a key partition how a request ended that its
// predecessor had still in flight at the hand-over.
type KeyResult struct {
	Service string         `cbor:"service"`
	Key     string         `cbor:"key"`
	Outcome htcall.Outcome `cbor:"outcome"`
	Reason  htcall.Reason  `cbor:"reason"`
	Answer  []byte         `cbor:"answer"`
}

// SlotRelease tells the new owner of a pool shard that a request has ended which its
// predecessor had in flight at the hand-over, so that its slot is free.
type SlotRelease struct {
	Shard string `cbor:"shard"`
	ID    string `cbor:"id"`
}

// HandoverPeers sends messages about a hand-over that has taken place.
type HandoverPeers interface {
	SendKeyResult(ctx context.Context, to htview.Member, end KeyResult) error
	SendSlotRelease(ctx context.Context, to htview.Member, end SlotRelease) error
}

// Reporter tells the new owners of shards how calls ended that were in flight at the
// hand-over.
type Reporter struct {
	peers   HandoverPeers
	pending atomic.Int64
}

// NewReporter returns a Reporter that sends through peers.
func NewReporter(peers HandoverPeers) *Reporter {
	return &Reporter{peers: peers}
}

// Pending returns the number of reports that are still to be sent. A host that stops
// waits until there are none.
func (r *Reporter) Pending() int64 {
	return r.pending.Load()
}

// keyEnd reports the end of a keyed call. If the report does not get through, the
// key stays unknown at the new owner, which is safe.
func (r *Reporter) keyEnd(own Ownership, end KeyResult) {
	r.report(own, htview.KeyShard(end.Service, end.Key), func(ctx context.Context, owner htview.Member) error {
		return r.peers.SendKeyResult(ctx, owner, end)
	})
}

// slotEnd reports that a slot is free. If the report does not get through, the slot
// stays taken at the new owner until the call's deadline.
func (r *Reporter) slotEnd(own Ownership, shard htview.Shard, id string) {
	end := SlotRelease{Shard: shard.String(), ID: id}
	r.report(own, shard, func(ctx context.Context, owner htview.Member) error {
		return r.peers.SendSlotRelease(ctx, owner, end)
	})
}

// report sends in the background, to the present owner of the shard, until it gets
// through.
func (r *Reporter) report(own Ownership, shard htview.Shard, send func(context.Context, htview.Member) error) {
	r.pending.Add(1)
	go func() {
		defer r.pending.Add(-1)
		if err := r.try(own, shard, send); err != nil {
			logrus.WithFields(logrus.Fields{"event": "end-not-reported", "shard": shard.String(), "error": err}).Warn("new owner does not know the end of a request")
		}
	}()
}

func (r *Reporter) try(own Ownership, shard htview.Shard, send func(context.Context, htview.Member) error) error {
	var err error
	for begun := time.Now(); time.Since(begun) < endLimit; {
		owner, ok := own.Owner(shard)
		if !ok {
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		err = send(ctx, owner)
		cancel()
		if err == nil {
			return nil
		}
		time.Sleep(endPause)
	}
	return err
}
