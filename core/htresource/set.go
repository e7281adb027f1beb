package htresource

import (
	"fmt"
	"slices"
	"strings"

	"hawthornturn/core/htfinding"
)

// Set is the declared state at one revision. A Set is immutable after it was built, so
// it can be shared without locks.
type Set struct {
	Revision uint64          `json:"revision" cbor:"revision"`
	Domains  []FailureDomain `json:"failure-domains" cbor:"failure-domains"`
	Pools    []Pool          `json:"pools" cbor:"pools"`
	Rules    []Rule          `json:"rules" cbor:"rules"`
	Services []Service       `json:"services" cbor:"services"`
}

// All returns every resource in the order of Kinds.
func (s *Set) All() []Resource {
	var all []Resource
	for _, d := range s.Domains {
		all = append(all, d)
	}
	for _, p := range s.Pools {
		all = append(all, p)
	}
	for _, r := range s.Rules {
		all = append(all, r)
	}
	for _, v := range s.Services {
		all = append(all, v)
	}
	return all
}

// Add appends a resource. It must not be called after the set is shared.
func (s *Set) Add(resource Resource) {
	switch r := resource.(type) {
	case FailureDomain:
		s.Domains = append(s.Domains, r)
	case Pool:
		s.Pools = append(s.Pools, r)
	case Rule:
		s.Rules = append(s.Rules, r)
	case Service:
		s.Services = append(s.Services, r)
	}
}

// Check returns the findings of all resources and of the references between them. The
// field of each finding starts with KIND/NAME.
func (s *Set) Check() htfinding.List {
	var l htfinding.List
	seen := map[string]bool{}
	for _, r := range s.All() {
		key := Key(r)
		if seen[key] {
			l.Addf(key, "duplicate %s %q", r.Kind(), r.ResourceName())
		}
		seen[key] = true
		for _, f := range r.Check() {
			l.Addf(key+"."+f.Field, "%s", f.Message)
		}
	}
	hosts := map[string]string{}
	addresses := map[string]string{}
	for _, p := range s.Pools {
		for i, u := range p.Upstreams {
			field := fmt.Sprintf("%s.upstreams[%d]", Key(p), i)
			if u.Domain != "" && !seen[string(KindFailureDomain)+"/"+u.Domain] {
				l.Addf(field+".failure-domain", "failure domain %q is not declared", u.Domain)
			}
			if other := addresses[u.Address]; other != "" && other != p.Name {
				l.Addf(field+".address", "address %q is also in pool %q", u.Address, other)
			}
			addresses[u.Address] = p.Name
		}
	}
	for _, r := range s.Rules {
		if r.Service != "" && !seen[string(KindService)+"/"+r.Service] {
			l.Addf(Key(r)+".service", "service %q is not declared", r.Service)
		}
	}
	for _, v := range s.Services {
		if v.Pool != "" && !seen[string(KindPool)+"/"+v.Pool] {
			l.Addf(Key(v)+".pool", "pool %q is not declared", v.Pool)
		}
		for i, h := range v.Hosts {
			if other := hosts[h]; other != "" {
				l.Addf(fmt.Sprintf("%s.hosts[%d]", Key(v), i), "host %q already belongs to service %q", h, other)
			}
			hosts[h] = v.Name
		}
	}
	return l
}

// Domain returns the failure domain with a name.
func (s *Set) Domain(name string) (FailureDomain, bool) {
	for _, d := range s.Domains {
		if d.Name == name {
			return d, true
		}
	}
	return FailureDomain{}, false
}

// Pool returns the pool with a name.
func (s *Set) Pool(name string) (Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// ServiceByHost returns the service that has host among its hosts.
func (s *Set) ServiceByHost(host string) (Service, bool) {
	for _, v := range s.Services {
		if slices.Contains(v.Hosts, host) {
			return v, true
		}
	}
	return Service{}, false
}

// Idempotent reports whether a rule of the service declares the request
// idempotent.
func (s *Set) Idempotent(service, method, path string) bool {
	for _, r := range s.Rules {
		if r.Service != service || !slices.Contains(r.Methods, method) {
			continue
		}
		if strings.HasPrefix(path, r.PathPrefix) {
			return true
		}
	}
	return false
}

// Key returns the key of a resource, which is KIND/NAME.
func Key(r Resource) string {
	return string(r.Kind()) + "/" + r.ResourceName()
}
