package htpath

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

// Shards holds the dispatchers of the pool shards that this host serves, and transfers
// the state of shards when ownership changes. It implements LocalShards and
// htview.Handover.
type Shards struct {
	upstreams Upstreams
	keys      *KeyOwner
	reporter  *Reporter
	now       func() time.Time

	mu          sync.Mutex
	ownership   Ownership
	set         *htresource.Set
	leaving     map[string]bool // names of upstreams that the host list marks as leaving
	dispatchers map[htview.Shard]*Dispatcher
	early       earlyReports[SlotRelease]
}

// NewShards returns Shards without dispatchers. Bind must be called before use.
func NewShards(upstreams Upstreams, keys *KeyOwner, reporter *Reporter, now func() time.Time) *Shards {
	return &Shards{upstreams: upstreams, keys: keys, reporter: reporter, now: now, dispatchers: map[htview.Shard]*Dispatcher{}}
}

// Bind sets the source of ownership. It is not a parameter of NewShards because that
// source itself needs Shards for the hand-over.
func (s *Shards) Bind(ownership Ownership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownership = ownership
}

// Dispatcher implements LocalShards.
func (s *Shards) Dispatcher(shard htview.Shard) *Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatchers[shard]
}

// Dispatchers returns a copy of the map of all running dispatchers.
func (s *Shards) Dispatchers() map[htview.Shard]*Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := make(map[htview.Shard]*Dispatcher, len(s.dispatchers))
	for shard, d := range s.dispatchers {
		running[shard] = d
	}
	return running
}

// Apply sets a new declared state on the dispatchers and returns all pool shards that
// it declares.
func (s *Shards) Apply(set *htresource.Set) []htview.Shard {
	s.mu.Lock()
	s.set = set
	running := make(map[htview.Shard]*Dispatcher, len(s.dispatchers))
	for shard, d := range s.dispatchers {
		running[shard] = d
	}
	leaving := s.leaving
	s.mu.Unlock()
	for shard, d := range running {
		upstreams, out := shardUpstreams(set, shard, leaving)
		d.SetUpstreams(upstreams, out)
	}
	var all []htview.Shard
	for _, p := range set.Pools {
		for _, domain := range p.Domains() {
			all = append(all, htview.PoolShard(p.Name, domain))
		}
	}
	return all
}

// SetLeaving sets the names of the upstreams that the host list marks as leaving, and
// updates the dispatchers if the set has changed.
func (s *Shards) SetLeaving(leaving map[string]bool) {
	s.mu.Lock()
	same := maps.Equal(s.leaving, leaving)
	s.leaving = leaving
	set := s.set
	s.mu.Unlock()
	if set != nil && !same {
		s.Apply(set)
	}
}

// shardUpstreams returns the upstreams of a shard and whether its failure domain is
// out.
func shardUpstreams(set *htresource.Set, shard htview.Shard, leaving map[string]bool) ([]htresource.Upstream, bool) {
	pool, ok := set.Pool(shard.Pool)
	if !ok {
		return nil, false
	}
	var upstreams []htresource.Upstream
	for _, u := range pool.Upstreams {
		if u.Domain != shard.Domain {
			continue
		}
		u.Leaving = u.Leaving || leaving[u.Name]
		upstreams = append(upstreams, u)
	}
	domain, ok := set.Domain(shard.Domain)
	return upstreams, ok && domain.State == htresource.DomainOut
}

// PoolState is the state that the owner of a pool shard transfers to the next owner.
// End times are encoded as remaining durations, since hosts have no common clock.
type PoolState struct {
	Occupied []occupiedSlot           `cbor:"occupied"`
	Warmups  []htdispatch.WarmupState `cbor:"proofs"` // learned limits and warm-up progress of the upstreams
	Times    []htdispatch.WorkTime    `cbor:"work-times"`
}

type occupiedSlot struct {
	ID        string        `cbor:"id"`
	Upstream  string        `cbor:"upstream"`
	Remaining time.Duration `cbor:"remaining"`
	Overdue   bool          `cbor:"overdue,omitempty"`
}

// Collect implements htview.Handover. It stops serving the shard and returns its state.
func (s *Shards) Collect(shard htview.Shard) []byte {
	if !shard.IsPool() {
		return s.keys.Collect(shard)
	}
	d := s.remove(shard)
	if d == nil {
		return nil
	}
	data, err := cbor.Marshal(d.Freeze(s.reporter))
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "handover-encode-failed", "shard": shard.String(), "error": err}).Error("could not encode the state of the shard for hand-over")
		return nil
	}
	return data
}

// Install implements htview.Handover. It starts serving the shard with the state of the
// previous owner, which may be empty.
func (s *Shards) Install(shard htview.Shard, state []byte) {
	if !shard.IsPool() {
		s.keys.Install(shard, state)
		return
	}
	var inherited PoolState
	if len(state) > 0 {
		if err := cbor.Unmarshal(state, &inherited); err != nil {
			logrus.WithFields(logrus.Fields{"event": "handover-decode-failed", "shard": shard.String(), "error": err}).Error("could not decode the state of the shard from its previous owner")
		}
	}
	s.mu.Lock()
	set, leaving, ownership := s.set, s.leaving, s.ownership
	s.mu.Unlock()
	if set == nil {
		return
	}
	pool, _ := set.Pool(shard.Pool)
	config := htdispatch.Config{
		Shard:        shard.String(),
		ColdLimit:    pool.ColdLimit,
		QueueLimit:   pool.QueueLimit,
		ProbesPerSec: pool.ProbesPerSec,
	}
	d := NewDispatcher(shard, htdispatch.New(config, s.now()), ownership, s.upstreams, s.now)
	upstreams, out := shardUpstreams(set, shard, leaving)
	d.SetUpstreams(upstreams, out)
	d.Adopt(inherited)
	s.mu.Lock()
	s.dispatchers[shard] = d
	early := s.early.take(s.now(), shard)
	s.mu.Unlock()
	for _, release := range early {
		d.ReleaseAdopted(release.ID)
	}
}

// Drop implements htview.Handover. It stops serving the shard and discards its state.
func (s *Shards) Drop(shard htview.Shard) {
	if !shard.IsPool() {
		s.keys.Drop(shard)
		return
	}
	if d := s.remove(shard); d != nil {
		d.Freeze(s.reporter)
	}
}

// HandleSlotRelease processes the report of a previous owner that a request has ended
// that was in flight there during the hand-over. A report for a shard that is not installed
// yet is kept until then. The error makes the previous owner repeat it.
func (s *Shards) HandleSlotRelease(release SlotRelease) error {
	shard, err := htview.ParseShard(release.Shard)
	if err != nil {
		return err
	}
	s.mu.Lock()
	d := s.dispatchers[shard]
	if d == nil {
		s.early.add(s.now(), shard, release.ID, release)
	}
	s.mu.Unlock()
	if d == nil {
		return fmt.Errorf("shard %s is not served by this host", shard)
	}
	d.ReleaseAdopted(release.ID)
	return nil
}

func (s *Shards) remove(shard htview.Shard) *Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dispatchers[shard]
	delete(s.dispatchers, shard)
	return d
}

// Tick calls Tick on every dispatcher.
func (s *Shards) Tick(now time.Time) {
	for _, d := range s.Dispatchers() {
		d.Tick(now)
	}
}
