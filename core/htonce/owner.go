package htonce

import (
	"slices"
	"time"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htview"
)

// Config holds the limits of an Owner. Zero values are replaced by the defaults.
type Config struct {
	Retention             time.Duration // time for which a record is kept
	MaxClockSkew          time.Duration
	MaxResponseBytes      int // maximum size in bytes of a stored response
	MaxTotalResponseBytes int // maximum total size in bytes of all stored responses
	MaxPartitionRecords   int // maximum number of records per partition
}

// Default values of Config.
const (
	DefaultRetention             = 10 * time.Minute
	DefaultMaxClockSkew          = 500 * time.Millisecond
	DefaultMaxResponseBytes      = 64 << 10
	DefaultMaxTotalResponseBytes = 64 << 20
	DefaultMaxPartitionRecords   = 1 << 16 // about 10 MB per partition without responses
)

// Owner stores the key records of the partitions that this host serves. It is not safe
// for concurrent use.
type Owner struct {
	cfg           Config
	partitions    map[htview.Shard]*partition
	withResponse  []*keyRecord // records with a stored response, oldest first; may include evicted ones
	responseBytes int          // total size of the stored responses
	evicted       int          // approximate number of records in withResponse whose response was evicted
}

type partition struct {
	fence     time.Time // keys created at or before it must not run; see KeyRules
	records   map[recordID]*keyRecord
	byArrival []*keyRecord // records in order of arrival
}

type recordID struct {
	service, key string
}

// New returns an Owner that serves no partition and applies the defaults to cfg.
func New(cfg Config) *Owner {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.MaxClockSkew == 0 {
		cfg.MaxClockSkew = DefaultMaxClockSkew
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if cfg.MaxTotalResponseBytes == 0 {
		cfg.MaxTotalResponseBytes = DefaultMaxTotalResponseBytes
	}
	if cfg.MaxPartitionRecords == 0 {
		cfg.MaxPartitionRecords = DefaultMaxPartitionRecords
	}
	return &Owner{cfg: cfg, partitions: map[htview.Shard]*partition{}}
}

// Begin decides whether a call runs. The lease is the expiry of the host's lease as read
// for this call, or zero if the host holds none. If the lease has expired or the
// partition is not served here, the outcome is unknown: another host may own the key, so
// this one must not return not-run.
func (o *Owner) Begin(now, lease time.Time, service, key, fingerprint string) Decision {
	o.Expire(now)
	p, ok := o.partitions[htview.KeyShard(service, key)]
	if !ok || !now.Before(lease) {
		return OutcomeOnly{Outcome: htcall.Unknown, Reason: htcall.ReasonOwnerLost}
	}
	id := recordID{service: service, key: key}
	if r, ok := p.records[id]; ok {
		return r.decideRepeat(fingerprint)
	}
	outcome, reason := o.keyRules(p).Check(now, key)
	if outcome == "" && len(p.records) >= o.cfg.MaxPartitionRecords {
		o.dropOldest(p)
		outcome, reason = o.keyRules(p).Check(now, key) // dropping the oldest record may have fenced this key as well
	}
	if outcome != "" {
		return OutcomeOnly{Outcome: outcome, Reason: reason}
	}
	created, _ := htcall.KeyTime(key)
	htassert.That(created.After(p.fence), htassert.AtMostOnce, "key %s of %s runs although created at or before the fence", key, service)
	o.addRecord(p, &keyRecord{Service: service, Key: key, Fingerprint: fingerprint, Arrived: now.UnixMilli(), State: Pending})
	return Run{}
}

// Finish records the result of a call for which Begin returned Run, and returns the
// decision for that call and the calls that wait for it. It returns true if the partition
// has moved to another owner: the caller then reports the result to the new owner, which
// calls Finish as well.
func (o *Owner) Finish(now time.Time, service, key string, outcome htcall.Outcome, reason htcall.Reason, response []byte) (Decision, bool) {
	o.Expire(now)
	ended := &keyRecord{State: stateFromOutcome(outcome), Reason: reason, Response: response}
	p, ok := o.partitions[htview.KeyShard(service, key)]
	if !ok {
		return ended.finalDecision(), true
	}
	r, ok := p.records[recordID{service: service, key: key}]
	if !ok {
		return ended.finalDecision(), false // the record has expired; the fence prevents the key from running again
	}
	id := htassert.AtMostOnce
	if r.State == NotRun {
		id = htassert.NotRun
	}
	repeated := r.HandedOver && r.State == ended.State // a report is sent again if the response to it was lost
	recordable := r.State == Pending || r.HandedOver && r.State == Unknown || repeated
	htassert.That(recordable, id, "key %s of %s ends as %s after it ended as %s", key, service, outcome, r.State)
	if !recordable {
		return r.finalDecision(), false
	}
	r.State, r.Reason = ended.State, reason
	if outcome == htcall.Done && !repeated {
		o.storeResponse(r, response)
	}
	return r.finalDecision(), false
}

// AwaitsResult reports whether the call of a key was pending at an earlier owner that has
// not reported its result.
func (o *Owner) AwaitsResult(service, key string) bool {
	p, ok := o.partitions[htview.KeyShard(service, key)]
	if !ok {
		return false
	}
	r, ok := p.records[recordID{service: service, key: key}]
	return ok && r.HandedOver && r.State == Unknown
}

// Expire drops the records whose retention period has passed.
func (o *Owner) Expire(now time.Time) {
	limit := now.Add(-o.cfg.Retention).UnixMilli()
	for _, p := range o.partitions {
		for len(p.byArrival) > 0 && p.byArrival[0].Arrived <= limit {
			o.dropOldest(p)
		}
	}
}

// Fence returns the fence of a partition, and false if the partition is not served here.
func (o *Owner) Fence(s htview.Shard) (time.Time, bool) {
	p, ok := o.partitions[s]
	if !ok {
		return time.Time{}, false
	}
	return p.fence, true
}

func (o *Owner) keyRules(p *partition) KeyRules {
	return KeyRules{Fence: p.fence, Retention: o.cfg.Retention, MaxClockSkew: o.cfg.MaxClockSkew}
}

func (o *Owner) addRecord(p *partition, r *keyRecord) {
	p.records[recordID{service: r.Service, key: r.Key}] = r
	p.byArrival = append(p.byArrival, r)
}

// dropOldest drops the oldest record of a partition. It raises the fence to the creation
// time of the record's key, so that the key cannot run again even if the wall clock steps
// back or the record was dropped before its retention period passed.
func (o *Owner) dropOldest(p *partition) {
	r := p.byArrival[0]
	p.byArrival[0] = nil
	p.byArrival = p.byArrival[1:]
	delete(p.records, recordID{service: r.Service, key: r.Key})
	if created, ok := htcall.KeyTime(r.Key); ok && created.After(p.fence) {
		p.fence = created
	}
	o.evictResponse(r)
}

// storeResponse stores a response if it is within the limits, and evicts the oldest
// responses to stay within MaxTotalResponseBytes.
func (o *Owner) storeResponse(r *keyRecord, response []byte) {
	if response == nil || len(response) > o.cfg.MaxResponseBytes || len(response) > o.cfg.MaxTotalResponseBytes {
		return
	}
	r.Response = response
	o.responseBytes += len(response)
	o.withResponse = append(o.withResponse, r)
	for o.responseBytes > o.cfg.MaxTotalResponseBytes {
		o.evictResponse(o.withResponse[0])
		o.withResponse = o.withResponse[1:]
		o.evicted--
	}
	o.compact()
}

// evictResponse discards the stored response of r, if any.
func (o *Owner) evictResponse(r *keyRecord) {
	if r.Response == nil {
		return
	}
	o.responseBytes -= len(r.Response)
	o.evicted++
	r.Response = nil
}

// compact removes the records without a response from withResponse once they are the
// majority, so that its length stays proportional to the number of stored responses.
func (o *Owner) compact() {
	if 2*o.evicted <= len(o.withResponse) {
		return
	}
	o.withResponse = slices.DeleteFunc(o.withResponse, func(r *keyRecord) bool { return r.Response == nil })
	o.evicted = 0
}
