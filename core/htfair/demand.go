package htfair

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ref is a short hash of the name of an account, used in messages between hosts.
type Ref uint32

// RefOf returns the Ref of an account.
func RefOf(account string) Ref { return Ref(xxhash.Sum64String(account)) }

// Load is what accounts ask for and get, in seconds of work a second.
type Load struct {
	Usual float64 // asked for usually
	Asked float64 // asked for lately
	Used  float64 // sent to upstreams lately
}

func (l Load) plus(o Load) Load {
	return Load{l.Usual + o.Usual, l.Asked + o.Asked, l.Used + o.Used}
}

// excess returns by how much a load is above the usual one.
func (l Load) excess() float64 { return max(l.Asked, l.Used) - l.Usual }

// Demand is what the accounts of one class ask for. The demands of hosts add up.
type Demand struct {
	Class    int
	OnTime   float64      // seconds of work a second that is sent and can be on time
	Waiting  float64      // seconds of work of the calls that wait although they are below the line
	Accounts map[Ref]Load // those furthest above their usual load
	Rest     Load         // of all others
	Others   int          // number of the others
}

// total returns the load of all accounts.
func (d *Demand) total() Load {
	sum := d.Rest
	for _, l := range d.Accounts {
		sum = sum.plus(l)
	}
	return sum
}

// Demands returns the demand of each class, sorted by class. Waiting is the work of the calls
// that wait and may be sent, by class.
func (s *Shares) Demands(now time.Time, waiting map[int]time.Duration) []Demand {
	byClass := map[int]*Demand{}
	of := func(class int) *Demand {
		d := byClass[class]
		if d == nil {
			d = &Demand{Class: class, Accounts: map[Ref]Load{}}
			byClass[class] = d
		}
		return d
	}
	for key, g := range s.groups {
		d := of(key.Class)
		d.Accounts[RefOf(key.Account)] = s.load(now, g)
		d.OnTime += g.onTime.sum(now, useDecay) / weightOf(s.started, now, useDecay)
	}
	for class, cost := range waiting {
		of(class).Waiting += cost.Seconds()
	}
	var list []Demand
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		d := byClass[class]
		if t := d.total(); t.Asked+t.Used > minUsualRate || d.Waiting > 0 {
			list = append(list, *d)
		}
	}
	return list
}

// load returns the load of a group.
func (s *Shares) load(now time.Time, g *group) Load {
	recent := weightOf(s.started, now, useDecay)
	return Load{
		Usual: g.usual.sum(now, usualDecay) / weightOf(s.started, now, usualDecay),
		Asked: g.recent.sum(now, useDecay) / recent,
		Used:  g.use.sum(now, useDecay) / recent,
	}
}

// keepLargest adds all accounts but that many of those furthest above their usual load to the rest.
func (d *Demand) keepLargest(most int) {
	refs := slices.SortedFunc(maps.Keys(d.Accounts), func(a, b Ref) int {
		return cmp.Or(cmp.Compare(d.Accounts[b].excess(), d.Accounts[a].excess()), cmp.Compare(a, b))
	})
	for i, ref := range refs {
		if l := d.Accounts[ref]; i >= most || l.excess() <= 0 {
			d.Rest = d.Rest.plus(l)
			d.Others++
			delete(d.Accounts, ref)
		}
	}
}

// Add returns the sum of two lists of demands, sorted by class.
func Add(a, b []Demand) []Demand {
	sum := make([]Demand, 0, max(len(a), len(b)))
	for _, d := range a {
		d.Accounts = maps.Clone(d.Accounts)
		sum = append(sum, d)
	}
	for _, d := range b {
		at, found := slices.BinarySearchFunc(sum, d.Class, func(x Demand, class int) int { return cmp.Compare(x.Class, class) })
		if !found {
			d.Accounts = maps.Clone(d.Accounts)
			sum = slices.Insert(sum, at, d)
			continue
		}
		s := &sum[at]
		s.Waiting += d.Waiting
		s.OnTime += d.OnTime
		s.Others = max(s.Others, d.Others)
		s.Rest = s.Rest.plus(d.Rest)
		for ref, l := range d.Accounts {
			s.Accounts[ref] = s.Accounts[ref].plus(l)
		}
	}
	return sum
}
