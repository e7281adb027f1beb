package htcatalog

import (
	"strings"
)

// Catalog is a consistent set of declarations. It is immutable after New.
type Catalog struct {
	Config     *Config
	Upstreams  []Upstream
	DomainsOut map[string]bool // failure domains taken out of service
	Rollouts   []Rollout       // at most one of a service

	byHost   map[string][]*Route
	services map[string]*Service
	accounts accountIndex
}

// New returns a Catalog of the declarations. Config may be nil.
func New(config *Config, upstreams []Upstream, out map[string]bool) *Catalog {
	c := &Catalog{
		Config:     config,
		Upstreams:  upstreams,
		DomainsOut: out,
		byHost:     map[string][]*Route{},
		services:   map[string]*Service{},
	}
	if config == nil {
		return c
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for i := range config.Services {
		s := &config.Services[i]
		c.services[s.Name] = s
	}
	c.accounts = config.accounts
	if c.accounts == nil {
		c.accounts, _ = newAccountIndex(config.Accounts)
	}
	return c
}

// Service returns the declared service of that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Match returns the route of host with the longest prefix of path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
