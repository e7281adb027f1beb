package htlab

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htresource"
	"hawthornturn/internal/htstand"
	"hawthornturn/io/hthost"
	"hawthornturn/io/htplatform"
	"hawthornturn/io/htsettings"
)

// clusterPollInterval is the period at which a condition that a cluster waits for
// is polled.
const clusterPollInterval = 20 * time.Millisecond

// OperatorKey is the writer key of the hosts of a Cluster.
const OperatorKey = "lab-writer-key-0123456789"

// Cluster runs a simulated platform, simulated upstreams and entry hosts in one
// process, on loopback addresses.
type Cluster struct {
	Platform  *htstand.Platform
	Upstreams []*htstand.Upstream

	mu        sync.Mutex
	hosts     []*ClusterHost
	dir       string
	authority *Authority
}

// ClusterHost is one entry host of a Cluster.
type ClusterHost struct {
	*hthost.Host
	Name   string
	Domain string

	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Stop performs a planned stop, waits for its end and returns its error.
func (h *ClusterHost) Stop() error {
	h.stop()
	<-h.done
	return h.err
}

// Kill ends the host without a planned stop and waits until it has ended.
func (h *ClusterHost) Kill() {
	h.StopNow()
	<-h.done
}

// NewCluster returns a cluster with a running platform and no upstreams or hosts.
func NewCluster() (*Cluster, error) {
	dir, err := os.MkdirTemp("", "htlab-")
	if err != nil {
		return nil, err
	}
	authority, err := NewAuthority(dir)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	c := &Cluster{Platform: htstand.NewPlatform(), dir: dir, authority: authority}
	if err := c.Platform.Start("127.0.0.1:0"); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return c, nil
}

// StartUpstreams starts a simulated upstream for every upstream of the set and
// stores its listen address in the set.
func (c *Cluster) StartUpstreams(set *htresource.Set, settings htstand.UpstreamSettings) error {
	for p := range set.Pools {
		for i := range set.Pools[p].Upstreams {
			declared := &set.Pools[p].Upstreams[i]
			s := settings
			s.Name = declared.Name
			s.Slots = declared.Slots
			s.Seed += uint64(len(c.Upstreams))
			u := htstand.NewUpstream(s)
			if err := u.Start("127.0.0.1:0"); err != nil {
				return err
			}
			declared.Address = u.Address()
			c.Upstreams = append(c.Upstreams, u)
		}
	}
	return nil
}

// StartHost starts an entry host in a failure domain and registers it in the
// platform's host list. If configure is not nil, it can change the host's settings.
func (c *Cluster) StartHost(name, domain string, configure func(*htsettings.Settings)) (*ClusterHost, error) {
	files, err := c.authority.Issue(name)
	if err != nil {
		return nil, err
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	settings := htsettings.Defaults()
	settings.Name = name
	settings.FailureDomain = domain
	settings.Listen = htsettings.Listen{Callers: loopback, Peers: loopback, Operators: loopback}
	settings.Platform = htsettings.Platform{Table: "http://" + c.Platform.Address(), HostList: "http://" + c.Platform.Address()}
	settings.PeerTLS = htsettings.PeerTLS(files)
	settings.Operators = []htsettings.Operator{{Name: "lab", Key: OperatorKey, Role: htsettings.RoleWriter}}
	settings.StopNotice = 500 * time.Millisecond
	if configure != nil {
		configure(&settings)
	}
	host, err := hthost.New(settings)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &ClusterHost{Host: host, Name: name, Domain: domain, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		h.err = host.Run(ctx)
	}()
	c.Platform.PutHost(htstand.Host{Name: name, Address: host.CallersAddr(), State: "live"})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	return h, nil
}

// Hosts returns the running hosts.
func (c *Cluster) Hosts() []*ClusterHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// Remove deletes a host that has been stopped or killed from the platform's host list
// and from the cluster.
func (c *Cluster) Remove(h *ClusterHost) {
	c.Platform.DeleteHost(h.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = slices.DeleteFunc(c.hosts, func(other *ClusterHost) bool { return other == h })
}

// Apply commits a declared state to the table service and returns its revision.
func (c *Cluster) Apply(ctx context.Context, set *htresource.Set) (uint64, error) {
	table := htplatform.NewTable(htplatform.Settings{URL: "http://" + c.Platform.Address()})
	store := htconfig.NewStore(table, uuid.NewString)
	result, err := store.Apply(ctx, set, htconfig.Precondition{}, false)
	return result.Revision, err
}

// WaitReady waits until every host is ready, has applied the revision, has a
// membership view with as many members as the cluster has hosts, and has no pending
// shards. It returns an error if ctx ends first.
func (c *Cluster) WaitReady(ctx context.Context, revision uint64) error {
	for {
		reason := c.notReadyReason(revision)
		if reason == "" {
			return nil
		}
		select {
		case <-time.After(clusterPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("cluster not ready: %s: %w", reason, ctx.Err())
		}
	}
}

func (c *Cluster) notReadyReason(revision uint64) string {
	hosts := c.Hosts()
	for _, h := range hosts {
		dump := h.Dump()
		switch {
		case !dump.Ready:
			return fmt.Sprintf("host %s: %s", h.Name, dump.NotReadyReason)
		case dump.AppliedRevision < revision:
			return fmt.Sprintf("host %s: revision %d", h.Name, dump.AppliedRevision)
		case len(dump.Membership.View.Members) != len(hosts):
			return fmt.Sprintf("host %s: view of %d members", h.Name, len(dump.Membership.View.Members))
		case len(dump.Membership.Pending) > 0:
			return fmt.Sprintf("host %s: %d shards pending", h.Name, len(dump.Membership.Pending))
		}
	}
	return ""
}

// CallerAddresses returns the addresses on which the hosts accept calls.
func (c *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, h := range c.Hosts() {
		addresses = append(addresses, h.CallersAddr())
	}
	return addresses
}

// OperatorServers returns the base URLs of the hosts' operators' API.
func (c *Cluster) OperatorServers() []string {
	var servers []string
	for _, h := range c.Hosts() {
		servers = append(servers, "http://"+h.OperatorsAddr())
	}
	return servers
}

// UpstreamAddresses returns the addresses of the upstreams.
func (c *Cluster) UpstreamAddresses() []string {
	addresses := make([]string, len(c.Upstreams))
	for i, u := range c.Upstreams {
		addresses[i] = u.Address()
	}
	return addresses
}

// Close stops all hosts, upstreams and the platform, and deletes the certificates.
func (c *Cluster) Close() error {
	var mu sync.Mutex
	var errs []error
	var wg sync.WaitGroup
	for _, h := range c.Hosts() {
		wg.Go(func() {
			if err := h.Stop(); err != nil && !errors.Is(err, hthost.ErrStoppedNow) {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, fmt.Errorf("stop %s: %w", h.Name, err))
			}
		})
	}
	wg.Wait()
	for _, u := range c.Upstreams {
		errs = append(errs, u.Close())
	}
	errs = append(errs, c.Platform.Close(), os.RemoveAll(c.dir))
	return errors.Join(errs...)
}
