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

// clusterPoll is the time between checks of a condition that a cluster waits for.
const clusterPoll = 20 * time.Millisecond

// OperatorKey is the writer key of the hosts of a Cluster.
const OperatorKey = "lab-writer-key-0123456789"

// Cluster is a platform stand-in with upstreams and entry hosts in one process, on
// loopback addresses.
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

// Stop makes a planned stop and returns its error.
func (h *ClusterHost) Stop() error {
	h.stop()
	<-h.done
	return h.err
}

// Kill ends the host without a planned stop.
func (h *ClusterHost) Kill() {
	h.StopNow()
	<-h.done
}

// NewCluster starts the platform.
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

// StartUpstreams starts a stand-in for every upstream of the set and writes the
// addresses it listens on into the set.
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

// StartHost starts an entry host in a failure domain.
func (c *Cluster) StartHost(name, domain string, edit func(*htsettings.Settings)) (*ClusterHost, error) {
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
	if edit != nil {
		edit(&settings)
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

// Remove takes a host off the platform's host list and out of the cluster, after
// the caller has ended it.
func (c *Cluster) Remove(h *ClusterHost) {
	c.Platform.DeleteHost(h.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = slices.DeleteFunc(c.hosts, func(other *ClusterHost) bool { return other == h })
}

// Apply commits a declared state through the table service and returns its
// revision.
func (c *Cluster) Apply(ctx context.Context, set *htresource.Set) (uint64, error) {
	table := htplatform.NewTable(htplatform.Settings{URL: "http://" + c.Platform.Address()})
	store := htconfig.NewStore(table, uuid.NewString)
	result, err := store.Apply(ctx, set, htconfig.Precondition{}, false)
	return result.Revision, err
}

// WaitReady waits until every host has applied the revision, is in the same view as
// all the others, and serves every shard it owns.
func (c *Cluster) WaitReady(ctx context.Context, revision uint64) error {
	for {
		why := c.notReady(revision)
		if why == "" {
			return nil
		}
		select {
		case <-time.After(clusterPoll):
		case <-ctx.Done():
			return fmt.Errorf("cluster not ready: %s: %w", why, ctx.Err())
		}
	}
}

func (c *Cluster) notReady(revision uint64) string {
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

// CallerAddresses lists the addresses for callers.
func (c *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, h := range c.Hosts() {
		addresses = append(addresses, h.CallersAddr())
	}
	return addresses
}

// OperatorServers lists the base URLs of the operators' API.
func (c *Cluster) OperatorServers() []string {
	var servers []string
	for _, h := range c.Hosts() {
		servers = append(servers, "http://"+h.OperatorsAddr())
	}
	return servers
}

// UpstreamAddresses lists the addresses of the upstreams.
func (c *Cluster) UpstreamAddresses() []string {
	addresses := make([]string, len(c.Upstreams))
	for i, u := range c.Upstreams {
		addresses[i] = u.Address()
	}
	return addresses
}

// Close stops all hosts, upstreams and the platform.
func (c *Cluster) Close() error {
	var mu sync.Mutex
	var failed []error
	var wait sync.WaitGroup
	for _, h := range c.Hosts() {
		wait.Go(func() {
			if err := h.Stop(); err != nil && !errors.Is(err, hthost.ErrStoppedNow) {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, fmt.Errorf("stop %s: %w", h.Name, err))
			}
		})
	}
	wait.Wait()
	for _, u := range c.Upstreams {
		failed = append(failed, u.Close())
	}
	failed = append(failed, c.Platform.Close(), os.RemoveAll(c.dir))
	return errors.Join(failed...)
}
