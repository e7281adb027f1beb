package htrollout

import "github.com/cespare/xxhash/v2"

// RouteGroups is the number of groups into which the routes of a service are divided, so that
// a version that fails on one route only is found, and messages stay small however many routes
// there are.
const RouteGroups = 16

// GroupOf returns the group of a route.
func GroupOf(route string) int { return int(xxhash.Sum64String(route) % RouteGroups) }

// Tally counts the judged sends to the upstreams of one side. It only grows.
type Tally struct {
	_      struct{} `cbor:",toarray"`
	Sends  uint32   // with a result
	Failed uint32   // without a valid answer, or with a failure as the answer
	Slow   uint32   // with an answer that took much longer than usual on the route
}

func (t Tally) plus(o Tally) Tally {
	return Tally{Sends: t.Sends + o.Sends, Failed: t.Failed + o.Failed, Slow: t.Slow + o.Slow}
}

// since returns what was added after an earlier tally of the same host. A smaller count can
// only come from a faulty sender and adds nothing.
func (t Tally) since(before Tally) Tally {
	if t.Sends < before.Sends || t.Failed < before.Failed || t.Slow < before.Slow {
		return Tally{}
	}
	return Tally{Sends: t.Sends - before.Sends, Failed: t.Failed - before.Failed, Slow: t.Slow - before.Slow}
}

// Side tells the target version of a roll-out from the other versions of the service.
type Side int

// The sides.
const (
	Others Side = iota
	Target
	sides
)

// Result is how a send ended, as far as it tells something about the version.
type Result int

// The results.
const (
	Good Result = iota
	Slow
	Failed
)

// Evidence is what one host has seen, by group of routes and side.
type Evidence [RouteGroups][sides]Tally

// Add counts a send that has ended.
func (e *Evidence) Add(route string, s Side, result Result) {
	t := &e[GroupOf(route)][s]
	t.Sends++
	switch result {
	case Slow:
		t.Slow++
	case Failed:
		t.Failed++
	}
}

// Total returns the tally of one side over all routes.
func (e *Evidence) Total(s Side) Tally {
	var sum Tally
	for g := range e {
		sum = sum.plus(e[g][s])
	}
	return sum
}

// GroupTally is the evidence on one group of routes, as sent to other hosts.
type GroupTally struct {
	_      struct{} `cbor:",toarray"`
	Group  uint8
	Others Tally
	Target Tally
}

// pack returns the groups with any sends.
func (e *Evidence) pack() []GroupTally {
	var list []GroupTally
	for g, t := range e {
		if t != ([sides]Tally{}) {
			list = append(list, GroupTally{Group: uint8(g), Others: t[Others], Target: t[Target]})
		}
	}
	return list
}

// unpack is the inverse of pack. Unknown groups are left out.
func unpack(list []GroupTally) Evidence {
	var e Evidence
	for _, t := range list {
		if int(t.Group) < RouteGroups {
			e[t.Group] = [sides]Tally{Others: t.Others, Target: t.Target}
		}
	}
	return e
}
