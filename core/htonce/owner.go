package htonce

import (
	"slices"
	"time"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htview"
)

// Config holds the limits of an Owner. Zero values take their defaults.
type Config struct {
	Retention             time.Duration // how long a record is kept
	MaxClockSkew          time.Duration
	MaxResponseBytes      int // bytes of the largest answer that is stored
	MaxTotalResponseBytes int // bytes of all stored answers
	MaxPartitionRecords   int // records of one partition
}

// Defaults of Config.
const (
	DefaultRetention             = 10 * time.Minute
	DefaultMaxClockSkew          = 500 * time.Millisecond
	DefaultMaxResponseBytes      = 64 << 10
	DefaultMaxTotalResponseBytes = 64 << 20
	DefaultMaxPartitionRecords   = 1 << 16 // about 10 MB per partition without answers
)

// Owner remembers the keys of the partitions that this host serves. It is not safe
// for concurrent use.
type Owner struct {
	cfg        Config
	partitions map[htview.Shard]*partition
	stored     []*record // records with a stored answer, oldest first
	used       int       // bytes of stored answers
	gone       int       // about how many records in stored have lost their answer
}

type partition struct {
	fence   time.Time
	records map[recordID]*record
	order   []*record // by arrival
}

type recordID struct {
	service, key string
}

// New returns an Owner of no partition.
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

// Begin decides on a call. The lease is the end of the host's lease as read for
// this call, zero when it has none. Without a lease or the partition, the answer is
// unknown: another host may own the key, so nobody here may say not-run.
func (o *Owner) Begin(now, lease time.Time, service, key, fingerprint string) Decision {
	o.Expire(now)
	p, ok := o.partitions[htview.KeyShard(service, key)]
	if !ok || !now.Before(lease) {
		return OutcomeOnly{Outcome: htcall.Unknown, Reason: htcall.ReasonOwnerLost}
	}
	id := recordID{service: service, key: key}
	if r, ok := p.records[id]; ok {
		return r.repeat(fingerprint)
	}
	outcome, reason := o.rules(p).Check(now, key)
	if outcome == "" && len(p.records) >= o.cfg.MaxPartitionRecords {
		o.dropOldest(p)
		outcome, reason = o.rules(p).Check(now, key) // the fence may have passed this key as well
	}
	if outcome != "" {
		return OutcomeOnly{Outcome: outcome, Reason: reason}
	}
	made, _ := htcall.KeyTime(key)
	htassert.That(made.After(p.fence), htassert.AtMostOnce, "key %s of %s runs although made at or before the fence", key, service)
	o.add(p, &record{Service: service, Key: key, Fingerprint: fingerprint, Arrived: now.UnixMilli(), State: Pending})
	return Run{}
}

// Finish records the end of a call that Begin told to run, and returns what the
// waiting calls are told. It reports true when the partition has moved away: the
// caller then reports the end to the new owner, which calls Finish as well.
func (o *Owner) Finish(now time.Time, service, key string, outcome htcall.Outcome, reason htcall.Reason, answer []byte) (Decision, bool) {
	o.Expire(now)
	result := &record{State: stateOf(outcome), Reason: reason, Answer: answer}
	p, ok := o.partitions[htview.KeyShard(service, key)]
	if !ok {
		return result.result(), true
	}
	r, ok := p.records[recordID{service: service, key: key}]
	if !ok {
		return result.result(), false // expired meanwhile; the fence keeps the key from running
	}
	id := htassert.AtMostOnce
	if r.State == NotRun {
		id = htassert.NotRun
	}
	repeated := r.HandedOver && r.State == result.State // the answer to a report may be lost
	open := r.State == Pending || r.HandedOver && r.State == Unknown || repeated
	htassert.That(open, id, "key %s of %s ends as %s after it ended as %s", key, service, outcome, r.State)
	if !open {
		return r.result(), false
	}
	r.State, r.Reason = result.State, reason
	if outcome == htcall.Done && !repeated {
		o.store(r, answer)
	}
	return r.result(), false
}

// Expire drops the records whose retention has passed.
func (o *Owner) Expire(now time.Time) {
	limit := now.Add(-o.cfg.Retention).UnixMilli()
	for _, p := range o.partitions {
		for len(p.order) > 0 && p.order[0].Arrived <= limit {
			o.dropOldest(p)
		}
	}
}

// Fence returns the fence of a partition and whether it is served here.
func (o *Owner) Fence(s htview.Shard) (time.Time, bool) {
	p, ok := o.partitions[s]
	if !ok {
		return time.Time{}, false
	}
	return p.fence, true
}

func (o *Owner) rules(p *partition) KeyRules {
	return KeyRules{Fence: p.fence, Retention: o.cfg.Retention, MaxClockSkew: o.cfg.MaxClockSkew}
}

func (o *Owner) add(p *partition, r *record) {
	p.records[recordID{service: r.Service, key: r.Key}] = r
	p.order = append(p.order, r)
}

// dropOldest forgets a record. It raises the fence past the record's key, so that
// the key cannot run again even if the wall clock steps back or the record was
// dropped before its retention passed.
func (o *Owner) dropOldest(p *partition) {
	r := p.order[0]
	p.order[0] = nil
	p.order = p.order[1:]
	delete(p.records, recordID{service: r.Service, key: r.Key})
	if made, ok := htcall.KeyTime(r.Key); ok && made.After(p.fence) {
		p.fence = made
	}
	o.unstore(r)
}

// store keeps an answer within the limits; the oldest answers make room.
func (o *Owner) store(r *record, answer []byte) {
	if answer == nil || len(answer) > o.cfg.MaxResponseBytes || len(answer) > o.cfg.MaxTotalResponseBytes {
		return
	}
	r.Answer = answer
	o.used += len(answer)
	o.stored = append(o.stored, r)
	for o.used > o.cfg.MaxTotalResponseBytes {
		o.unstore(o.stored[0])
		o.stored = o.stored[1:]
		o.gone--
	}
	o.compact()
}

func (o *Owner) unstore(r *record) {
	if r.Answer == nil {
		return
	}
	o.used -= len(r.Answer)
	o.gone++
	r.Answer = nil
}

// compact removes the records whose answers are gone once they are the majority,
// so that the list stays in proportion to the stored answers.
func (o *Owner) compact() {
	if 2*o.gone <= len(o.stored) {
		return
	}
	o.stored = slices.DeleteFunc(o.stored, func(r *record) bool { return r.Answer == nil })
	o.gone = 0
}
