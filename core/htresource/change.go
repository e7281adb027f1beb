package htresource

import (
	"reflect"
	"slices"
	"strings"
)

// Action is what a change does to a resource.
type Action string

// The actions.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
)

// Change is one difference between two sets.
type Change struct {
	Action Action `json:"action" cbor:"action"`
	Kind   Kind   `json:"kind" cbor:"kind"`
	Name   string `json:"name" cbor:"name"`
}

// Diff returns the changes that turn one set into another, in the order of Kinds and
// then by name.
func Diff(from, to *Set) []Change {
	var changes []Change
	before, after := from.Index(), to.Index()
	for key, r := range after {
		old, ok := before[key]
		if !ok {
			changes = append(changes, Change{ActionCreate, r.Kind(), r.ResourceName()})
		} else if !Equal(old, r) {
			changes = append(changes, Change{ActionUpdate, r.Kind(), r.ResourceName()})
		}
	}
	for key, r := range before {
		if _, ok := after[key]; !ok {
			changes = append(changes, Change{ActionDelete, r.Kind(), r.ResourceName()})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if n := slices.Index(Kinds, a.Kind) - slices.Index(Kinds, b.Kind); n != 0 {
			return n
		}
		return strings.Compare(a.Name, b.Name)
	})
	return changes
}

// Equal reports whether two resources have equal declarations. A nil list of upstreams
// equals an empty one, because the codecs do not distinguish them.
func Equal(a, b Resource) bool {
	return reflect.DeepEqual(normalize(a), normalize(b))
}

// normalize replaces an empty list of upstreams by nil.
func normalize(resource Resource) Resource {
	if p, ok := resource.(Pool); ok && len(p.Upstreams) == 0 {
		p.Upstreams = nil
		return p
	}
	return resource
}

// Find returns the resource of a kind by name.
func (s *Set) Find(kind Kind, name string) (Resource, bool) {
	for _, r := range s.All() {
		if r.Kind() == kind && r.ResourceName() == name {
			return r, true
		}
	}
	return nil, false
}

// With returns a copy of the set that contains the resource, in place of any other of
// the same kind and name.
func (s *Set) With(resource Resource) *Set {
	next := s.Without(resource.Kind(), resource.ResourceName())
	next.Add(resource)
	return next
}

// Without returns a copy of the set without a resource.
func (s *Set) Without(kind Kind, name string) *Set {
	next := &Set{Revision: s.Revision}
	for _, r := range s.All() {
		if r.Kind() != kind || r.ResourceName() != name {
			next.Add(r)
		}
	}
	return next
}

// Sort sorts the resources of each kind by name. It must not be called after the set
// is shared.
func (s *Set) Sort() {
	slices.SortFunc(s.Domains, byName[FailureDomain])
	slices.SortFunc(s.Pools, byName[Pool])
	slices.SortFunc(s.Rules, byName[Rule])
	slices.SortFunc(s.Services, byName[Service])
}

func byName[T Resource](a, b T) int {
	return strings.Compare(a.ResourceName(), b.ResourceName())
}

// Index returns the resources by KIND/NAME.
func (s *Set) Index() map[string]Resource {
	index := map[string]Resource{}
	for _, r := range s.All() {
		index[Key(r)] = r
	}
	return index
}
