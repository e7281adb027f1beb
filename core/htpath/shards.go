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

// Shards holds the dispatchers of the pool shards that this host runs, and hands
// shards over when ownership changes. It implements LocalShards and
// htview.Handover.
type Shards struct {
	upstreams Upstreams
	keys      *KeyOwner
	reporter  *Reporter
	now       func() time.Time

	mu          sync.Mutex
	own         Ownership
	set         *htresource.Set
	leaving     map[string]bool // upstream names the host list marks as leaving
	dispatchers map[htview.Shard]*Dispatcher
}

// NewShards returns Shards without dispatchers. Bind must be called before use.
func NewShards(upstreams Upstreams, keys *KeyOwner, reporter *Reporter, now func() time.Time) *Shards {
	return &Shards{upstreams: upstreams, keys: keys, reporter: reporter, now: now, dispatchers: map[htview.Shard]*Dispatcher{}}
}

// Bind sets the source of ownership, which itself depends on Shards for hand-over.
func (s *Shards) Bind(own Ownership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = own
}

// Dispatcher implements LocalShards.
func (s *Shards) Dispatcher(shard htview.Shard) *Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatchers[shard]
}

// Dispatchers returns all running dispatchers.
func (s *Shards) Dispatchers() map[htview.Shard]*Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := make(map[htview.Shard]*Dispatcher, len(s.dispatchers))
	for shard, d := range s.dispatchers {
		running[shard] = d
	}
	return running
}

// Apply passes a new declared state to the dispatchers and returns the pool shards
// it contains.
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
		upstreams, out := members(set, shard, leaving)
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

// SetLeaving passes on which upstreams the host list marks as leaving.
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

// members returns the upstreams of a shard and whether its failure domain is out.
func members(set *htresource.Set, shard htview.Shard, leaving map[string]bool) ([]htresource.Upstream, bool) {
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

// PoolState is what a pool shard's owner gives to the next one. Times are given as
// what remains of them, since hosts share no clock.
type PoolState struct {
	Occupied []occupiedSlot           `cbor:"occupied"`
	Proofs   []htdispatch.WarmupState `cbor:"proofs"`
	Times    []htdispatch.WorkTime    `cbor:"work-times"`
}

type occupiedSlot struct {
	ID        string        `cbor:"id"`
	Upstream  string        `cbor:"upstream"`
	Remaining time.Duration `cbor:"remaining"`
	Overdue   bool          `cbor:"overdue,omitempty"`
}

// Collect implements htview.Handover.
func (s *Shards) Collect(shard htview.Shard) []byte {
	if !shard.IsPool() {
		return s.keys.Collect(shard)
	}
	d := s.take(shard)
	if d == nil {
		return nil
	}
	data, err := cbor.Marshal(d.Freeze(s.reporter))
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "handover-encode-failed", "shard": shard.String(), "error": err}).Error("state not encoded")
		return nil
	}
	return data
}

// Install implements htview.Handover.
func (s *Shards) Install(shard htview.Shard, state []byte) {
	if !shard.IsPool() {
		s.keys.Install(shard, state)
		return
	}
	var inherited PoolState
	if len(state) > 0 {
		if err := cbor.Unmarshal(state, &inherited); err != nil {
			logrus.WithFields(logrus.Fields{"event": "handover-decode-failed", "shard": shard.String(), "error": err}).Error("state not decoded")
		}
	}
	s.mu.Lock()
	set, leaving, own := s.set, s.leaving, s.own
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
	d := NewDispatcher(shard, htdispatch.New(config, s.now()), own, s.upstreams, s.now)
	upstreams, out := members(set, shard, leaving)
	d.SetUpstreams(upstreams, out)
	d.Adopt(inherited)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchers[shard] = d
}

// Drop implements htview.Handover.
func (s *Shards) Drop(shard htview.Shard) {
	if !shard.IsPool() {
		s.keys.Drop(shard)
		return
	}
	if d := s.take(shard); d != nil {
		d.Freeze(s.reporter)
	}
}

// HandleSlotRelease takes the report of a predecessor that a request it had in flight at
// the hand-over has ended.
func (s *Shards) HandleSlotRelease(end SlotRelease) error {
	shard, err := htview.ParseShard(end.Shard)
	if err != nil {
		return err
	}
	d := s.Dispatcher(shard)
	if d == nil {
		return fmt.Errorf("shard %s is not served here", shard)
	}
	d.ReleaseAdopted(end.ID)
	return nil
}

func (s *Shards) take(shard htview.Shard) *Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dispatchers[shard]
	delete(s.dispatchers, shard)
	return d
}

// Tick lets every dispatcher act on the passing of time.
func (s *Shards) Tick(now time.Time) {
	for _, d := range s.Dispatchers() {
		d.Tick(now)
	}
}
