package htroute

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornturn/core/htcall"
)

const (
	// staleAfter is the age from which the last seen load of a shard is ignored.
	staleAfter = time.Second
	// shedAvoidTime is how long a shard that shed load is avoided.
	shedAvoidTime = time.Second
	// failAvoidTime is how long a shard whose owner could not be reached is avoided. A
	// moved shard has a new owner after about the same time.
	failAvoidTime = 250 * time.Millisecond
	// viewDecay is the time constant with which a view loses weight. Answers arrive every
	// 10 to 40 ms from each shard; trusting a view for longer sends too many calls to a
	// shard that has filled up since.
	viewDecay = 10 * time.Millisecond
	// shedLoad is added to the load of a shard that shed load. A first attempt goes there
	// only if the other shards are fuller by as much, so that one refusal does not move all
	// calls of a shard to the others at once.
	shedLoad = 0.25
	// staleShare is the share of choices that go to a shard of unknown load.
	staleShare = 0.02
)

// Target is a shard that can serve a call.
type Target struct {
	Shard  string
	Domain string
}

// view is the state of a shard as known to this host.
type view struct {
	load   htcall.Load
	seen   time.Time
	sent   int // calls this host sent there since the load was seen
	shed   time.Time
	failed time.Time
}

// Router chooses the shard for a call by the last load seen in answers. It is not safe for
// concurrent use.
type Router struct {
	rng   *rand.Rand
	views map[string]*view
	fresh []candidate // reused by Choose
	stale []candidate
}

// New returns a Router that has seen no shard.
func New(rng *rand.Rand) *Router {
	return &Router{rng: rng, views: map[string]*view{}}
}

// Sent records that a call was sent to the shard.
func (r *Router) Sent(_ time.Time, shard string) {
	r.view(shard).sent++
}

// Seen records the load of the shard that an answer carried.
func (r *Router) Seen(now time.Time, shard string, load htcall.Load) {
	v := r.view(shard)
	v.load = load
	v.seen = now
	v.sent = 0
	v.failed = time.Time{}
	if load.Shedding {
		v.shed = now
	}
}

// Failed records that the owner of the shard could not be reached or no longer owns it.
func (r *Router) Failed(now time.Time, shard string) {
	r.view(shard).failed = now
}

func (r *Router) view(shard string) *view {
	v := r.views[shard]
	if v == nil {
		v = &view{}
		r.views[shard] = v
	}
	return v
}

// tier ranks targets before their loads are compared; lower is better.
type tier int

const (
	tierGood     tier = iota
	tierShedding      // for retries and hedges
	tierNoCapacity
	tierFailed
	tierExcluded // added to the tier of a target in an excluded domain
)

// candidate is a target of the best tier.
type candidate struct {
	target Target
	view   *view
}

func (v *view) tier(now time.Time, retry bool) tier {
	switch {
	case within(now, v.failed, failAvoidTime):
		return tierFailed
	case v.load.Capacity == 0 && within(now, v.seen, staleAfter):
		return tierNoCapacity
	case retry && within(now, v.shed, shedAvoidTime):
		return tierShedding
	}
	return tierGood
}

func within(now, t time.Time, limit time.Duration) bool {
	return !t.IsZero() && now.Sub(t) < limit
}

// Choose returns the target with the lowest load in the best tier. Excluded domains, which
// earlier attempts of the call used, are used only if there is no other. It returns false
// if there is no target.
func (r *Router) Choose(now time.Time, targets []Target, excludeDomains []string) (Target, bool) {
	best := tierFailed + tierExcluded + 1
	fresh, stale := r.fresh[:0], r.stale[:0]
	for _, t := range targets {
		v := r.view(t.Shard)
		rank := v.tier(now, len(excludeDomains) > 0)
		if slices.Contains(excludeDomains, t.Domain) {
			rank += tierExcluded
		}
		if rank < best {
			best, fresh, stale = rank, fresh[:0], stale[:0]
		}
		if rank > best {
			continue
		}
		if within(now, v.seen, staleAfter) {
			fresh = append(fresh, candidate{t, v})
		} else {
			stale = append(stale, candidate{t, v})
		}
	}
	r.fresh, r.stale = fresh, stale
	if len(stale) > 0 && (len(fresh) == 0 || r.rng.Float64() < staleShare) {
		return stale[r.rng.IntN(len(stale))].target, true
	}
	return r.lowest(now, fresh)
}

func (r *Router) lowest(now time.Time, candidates []candidate) (Target, bool) {
	average := 0.0
	for _, c := range candidates {
		average += c.view.relativeLoad() / float64(len(candidates))
	}
	var best Target
	bestLoad, found := 0.0, 0
	for _, c := range candidates {
		load := c.view.estimate(now, average)
		switch {
		case found == 0 || load < bestLoad:
			best, bestLoad, found = c.target, load, 1
		case load == bestLoad:
			found++
			if r.rng.IntN(found) == 0 {
				best = c.target
			}
		}
	}
	return best, found > 0
}

// relativeLoad returns the last seen load as a fraction of the capacity.
func (v *view) relativeLoad() float64 {
	return float64(v.load.InFlight+v.load.Queued) / float64(max(v.load.Capacity, 1))
}

// estimate returns the expected current load as a fraction of the capacity. The last seen
// load is weighted by age against the average of all candidates.
func (v *view) estimate(now time.Time, average float64) float64 {
	weight := math.Exp(-float64(now.Sub(v.seen)) / float64(viewDecay))
	sent := float64(v.sent) / float64(max(v.load.Capacity, 1))
	load := average + weight*(v.relativeLoad()-average) + sent
	if within(now, v.shed, shedAvoidTime) {
		load += shedLoad
	}
	return load
}
