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
	// reportTimeout bounds one attempt to send a report to a shard's new owner.
	reportTimeout = time.Second
	// reportRetryLimit bounds the time for which a report is retried. The first attempt
	// may arrive before the new owner has installed the shard, which takes seconds on a
	// busy machine. The value is the default duration of a lease: an owner that
	// installs the shard later than that has waited for the lease to expire.
	reportRetryLimit    = 5 * time.Second
	reportRetryInterval = 50 * time.Millisecond
)

// KeyResult reports to the new owner of a key partition how a request ended that was
// in flight at the previous owner during the hand-over.
type KeyResult struct {
	Service string         `cbor:"service"`
	Key     string         `cbor:"key"`
	Outcome htcall.Outcome `cbor:"outcome"`
	Reason  htcall.Reason  `cbor:"reason"`
	Answer  []byte         `cbor:"answer"`
}

// SlotRelease reports to the new owner of a pool shard that a request has ended that
// was in flight at the previous owner during the hand-over, so that its slot is free.
type SlotRelease struct {
	Shard string `cbor:"shard"`
	ID    string `cbor:"id"`
}

// HandoverPeers sends reports about in-flight calls to the new owners of shards.
type HandoverPeers interface {
	SendKeyResult(ctx context.Context, to htview.Member, report KeyResult) error
	SendSlotRelease(ctx context.Context, to htview.Member, report SlotRelease) error
}

// Reporter reports to the new owners of shards how calls ended that were in flight
// during the hand-over.
type Reporter struct {
	peers   HandoverPeers
	pending atomic.Int64
}

// NewReporter returns a Reporter that sends through peers.
func NewReporter(peers HandoverPeers) *Reporter {
	return &Reporter{peers: peers}
}

// Pending returns the number of reports that are still being sent. A stopping host
// waits until it is zero.
func (r *Reporter) Pending() int64 {
	return r.pending.Load()
}

// reportKeyResult reports the end of a keyed call. If the report cannot be delivered,
// the new owner keeps the outcome of the key as unknown, which is safe.
func (r *Reporter) reportKeyResult(ownership Ownership, result KeyResult) {
	r.report(ownership, htview.KeyShard(result.Service, result.Key), func(ctx context.Context, owner htview.Member) error {
		return r.peers.SendKeyResult(ctx, owner, result)
	})
}

// reportSlotRelease reports that a slot is free. If the report cannot be delivered,
// the slot stays occupied at the new owner until the call's deadline.
func (r *Reporter) reportSlotRelease(ownership Ownership, shard htview.Shard, id string) {
	release := SlotRelease{Shard: shard.String(), ID: id}
	r.report(ownership, shard, func(ctx context.Context, owner htview.Member) error {
		return r.peers.SendSlotRelease(ctx, owner, release)
	})
}

// report sends a report in the background to the current owner of the shard, with
// retries, and logs a warning if it cannot be delivered within reportRetryLimit. If no
// host owns the shard, it drops the report.
func (r *Reporter) report(ownership Ownership, shard htview.Shard, send func(context.Context, htview.Member) error) {
	r.pending.Add(1)
	go func() {
		defer r.pending.Add(-1)
		if err := r.sendWithRetries(ownership, shard, send); err != nil {
			logrus.WithFields(logrus.Fields{"event": "end-not-reported", "shard": shard.String(), "error": err}).Warn("could not report the end of a request to the new owner of the shard")
		}
	}()
}

func (r *Reporter) sendWithRetries(ownership Ownership, shard htview.Shard, send func(context.Context, htview.Member) error) error {
	var err error
	for start := time.Now(); time.Since(start) < reportRetryLimit; {
		owner, ok := ownership.Owner(shard)
		if !ok {
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		err = send(ctx, owner)
		cancel()
		if err == nil {
			return nil
		}
		time.Sleep(reportRetryInterval)
	}
	return err
}
