package htonce

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htview"
)

// exportedPartition is the encoded state of a partition at a hand-over.
type exportedPartition struct {
	Fence   int64        `cbor:"fence"` // wall time in milliseconds
	Records []*keyRecord `cbor:"records"`
}

// Export stops serving the partition that is the shard s and returns its state, encoded
// as CBOR, for the new owner. Each partition of the keys is a shard of its own. Pending
// requests continue here; Finish then returns true, so that the caller reports their
// results to the new owner. Export returns nil if the partition is not served.
func (o *Owner) Export(now time.Time, s htview.Shard) []byte {
	o.Expire(now)
	p, ok := o.partitions[s]
	htassert.That(ok, htassert.SingleShardOwner, "export of %s, which is not served", s)
	if !ok {
		return nil
	}
	data, err := cbor.Marshal(exportedPartition{Fence: p.fence.UnixMilli(), Records: p.byArrival})
	if err != nil {
		panic(fmt.Sprintf("encode key records: %v", err)) // not reachable: the type holds only strings, bytes, booleans and numbers
	}
	o.Drop(s)
	return data
}

// Install starts serving the partition that is the shard s with the state exported by the
// previous owner. If state is nil, it fences all keys that the previous owner may have
// run: a key is created at most MaxClockSkew ahead of that owner's clock, which is at most
// MaxClockSkew ahead of this host's clock. State that cannot be decoded is treated as nil,
// and an error is returned.
func (o *Owner) Install(now time.Time, s htview.Shard, state []byte) error {
	_, served := o.partitions[s]
	htassert.That(!served, htassert.SingleShardOwner, "install of %s, which is already served", s)
	p := &partition{fence: now.Round(0).Add(2 * o.cfg.MaxClockSkew), records: map[recordID]*keyRecord{}}
	o.partitions[s] = p
	if state == nil {
		return nil
	}
	var m exportedPartition
	if err := cbor.Unmarshal(state, &m); err != nil {
		return fmt.Errorf("decode state of %s: %w", s, err)
	}
	p.fence = time.UnixMilli(m.Fence)
	for _, r := range m.Records {
		o.addImported(p, r)
	}
	return nil
}

// addImported adds a record of the previous owner. A pending request still runs there,
// so its state is Unknown here until the previous owner reports the result.
func (o *Owner) addImported(p *partition, r *keyRecord) {
	response := r.Response
	r.Response = nil
	if r.State == Pending {
		r.State, r.Reason, r.HandedOver = Unknown, htcall.ReasonOwnerLost, true
	}
	o.addRecord(p, r)
	o.storeResponse(r, response)
}

// Drop stops serving a partition and discards its records.
func (o *Owner) Drop(s htview.Shard) {
	p, ok := o.partitions[s]
	if !ok {
		return
	}
	delete(o.partitions, s)
	for _, r := range p.byArrival {
		o.evictResponse(r)
	}
}
