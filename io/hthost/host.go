package hthost

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htpath"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htroute"
	"hawthornturn/core/httime"
	"hawthornturn/core/htview"
	"hawthornturn/io/htback"
	"hawthornturn/io/htclient"
	"hawthornturn/io/htfront"
	"hawthornturn/io/htpeer"
	"hawthornturn/io/htplatform"
	"hawthornturn/io/htservice"
	"hawthornturn/io/htsettings"
)

// dispatchTickInterval is the time between checks for expired calls and for held slots to
// release.
const dispatchTickInterval = 5 * time.Millisecond

// Host is one entry host.
type Host struct {
	settings htsettings.Settings
	timers   *httime.Service
	started  time.Time
	stopping atomic.Bool
	stopNow  chan struct{}
	stopOnce sync.Once

	table          *htplatform.Table
	platformHosts  *hostListAdapter
	peerClient     *htpeer.Client
	peerServer     *htpeer.Server
	upstreamClient *htback.Client
	manager        *htview.Manager
	follower       *htconfig.Follower
	reporter       *htpath.Reporter
	keyOwner       *htpath.KeyOwner
	shards         *htpath.Shards
	callHandler    *htpath.CallHandler
	metrics        *htfront.Metrics

	// Bounds of what clients make the host hold.
	resources          htclient.Resources
	callers, operators *htclient.Table
	memory             *htmemory.Budget

	callerTLS        *tls.Config // nil if callers use plain HTTP
	callerListener   net.Listener
	operatorListener net.Listener
	callerServer     *http.Server
	apiServer        *http.Server
}

// New opens the listeners of an entry host and builds its components. Run starts it.
func New(settings htsettings.Settings) (*Host, error) {
	h := &Host{
		settings: settings,
		timers:   httime.New(),
		started:  time.Now(),
		stopNow:  make(chan struct{}),
		metrics:  htfront.NewMetrics(),
	}
	peerTLS, err := htpeer.TLSFiles(settings.PeerTLS).Load()
	if err != nil {
		return nil, err
	}
	h.newBounds()
	if err := h.listen(peerTLS); err != nil {
		h.closeListeners()
		return nil, err
	}
	h.peerClient = htpeer.NewClient(peerTLS)
	h.table = htplatform.NewTable(htplatform.Settings{URL: settings.Platform.Table})
	h.platformHosts = &hostListAdapter{list: htplatform.NewHostList(htplatform.Settings{URL: settings.Platform.HostList})}
	h.upstreamClient = htback.New(int(upstreamsDescriptorShare * float64(h.resources.Descriptors)))
	h.buildComponents()
	return h, nil
}

// buildComponents builds the core components and the servers, and connects them.
func (h *Host) buildComponents() {
	now := h.timers.Now
	name := h.settings.Name
	quarantine := htpath.NewQuarantine()
	h.reporter = htpath.NewReporter(h.peerClient)
	h.keyOwner = htpath.NewKeyOwner(htonce.Config{MaxClockSkew: h.settings.MaxClockSkew}, h.reporter, now)
	h.shards = htpath.NewShards(h.upstreamClient, h.keyOwner, h.reporter, now)
	gossip := &heartbeatGossip{quarantine: quarantine}
	h.manager = htview.New(h.viewConfig(), h.table, h.peerClient, h.platformHosts, h.shards, gossip, h.timers)
	h.shards.Bind(h.manager)
	snapshots := &snapshotExchange{manager: h.manager, peers: h.peerClient}
	store := htconfig.NewStore(h.table, uuid.NewString)
	h.follower = htconfig.NewFollower(name, store, snapshots, &otherHosts{manager: h.manager}, h.timers)
	gossip.follower = h.follower
	seed := rand.NewPCG(rand.Uint64(), rand.Uint64())
	router := htpath.NewRouter(name, h.manager, h.follower, h.peerClient, h.shards, quarantine, htroute.New(rand.New(seed)), now)
	h.keyOwner.Bind(h.manager, router)
	h.callHandler = htpath.NewCallHandler(name, h.manager, h.peerClient, h.keyOwner, router, h.shards, now)
	h.follower.Subscribe(h.applyDeclarations)
	h.peerServer.HandleMembers(h.manager)
	h.peerServer.HandleCalls(h.callHandler, h.memory)
	h.peerServer.HandleHandoverReports(h.keyOwner, h.shards)
	h.peerServer.HandleSnapshots(&snapshotHandler{follower: h.follower})
	front := htfront.New(htfront.Config{
		Host:        name,
		HeaderBytes: int(h.settings.Limits.HeaderBytes),
		BodyBytes:   h.settings.Limits.BodyBytes,
	}, h.follower, h.callHandler, h.ready, h.memory, h.metrics)
	h.callerServer = front.Server()
	h.apiServer = h.newAPI(store, snapshots)
}

func (h *Host) viewConfig() htview.Config {
	lease := h.settings.Lease
	return htview.Config{
		Self: htview.Member{
			Host:        h.settings.Name,
			Incarnation: uuid.NewString(),
			Address:     h.peerServer.Addr(),
			Domain:      h.settings.FailureDomain,
		},
		LeaseRenewInterval: lease.RenewInterval,
		LeaseDuration:      lease.Duration,
		TakeoverDelay:      lease.TakeoverDelay,
		HeartbeatInterval:  h.settings.HeartbeatInterval,
		HoldDuration:       lease.HoldDuration,
		UnlistedTimeout:    lease.UnlistedTimeout,
	}
}

// applyDeclarations passes a new declared state to the dispatchers and to membership, and
// closes the connections to upstreams that it does not contain.
func (h *Host) applyDeclarations(set *htresource.Set) {
	h.manager.SetShards(h.shards.Apply(set))
	addresses := map[string]bool{}
	for _, p := range set.Pools {
		for _, u := range p.Upstreams {
			addresses[u.Address] = true
		}
	}
	h.upstreamClient.Retain(addresses)
}

// ready reports whether the platform's balancer may send calls to this host, and the reason
// if not.
func (h *Host) ready() (bool, string) {
	switch {
	case h.stopping.Load():
		return false, "stopping"
	case !h.follower.Ready():
		return false, "no configuration yet"
	case !h.manager.LeaseUntil(h.timers.Now()).After(h.timers.Now()):
		return false, "cut off: no valid lease"
	default:
		return true, ""
	}
}

// ErrStoppedNow is returned by Run after StopNow.
var ErrStoppedNow = errors.New("stopped without waiting for calls in flight")

// StopNow ends Run immediately, also during a planned stop: calls in flight are cut, and
// other hosts take over the shards only after the lease has expired.
func (h *Host) StopNow() {
	h.stopOnce.Do(func() { close(h.stopNow) })
}

// Run serves until ctx ends and then performs a planned stop. It returns nil if the stop cut
// no call, and ErrStoppedNow after StopNow.
func (h *Host) Run(ctx context.Context) error {
	supervisedCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New(h.settings.Name, suture.Spec{EventHook: htservice.LogEvent})
	supervisor.Add(h.manager)
	supervisor.Add(h.follower)
	supervisor.Add(h.peerServer)
	supervisor.Add(htservice.Service{Name: "callers", Run: func(ctx context.Context) error { return htservice.HTTP(ctx, h.callerServer, h.limitCallers()) }})
	supervisor.Add(htservice.Service{Name: "operators", Run: func(ctx context.Context) error { return h.operators.Serve(ctx, h.apiServer, h.operatorListener) }})
	supervisor.Add(htservice.Service{Name: "dispatch-timer", Run: h.runDispatchTimer})
	supervisor.Add(htservice.Service{Name: "host-list", Run: h.watchHostList})
	ended := supervisor.ServeBackground(supervisedCtx)
	logrus.WithFields(logrus.Fields{
		"event": "host-started", "host": h.settings.Name, "failure-domain": h.settings.FailureDomain,
		"callers": h.callerListener.Addr(), "peers": h.peerServer.Addr(), "operators": h.operatorListener.Addr(),
	}).Info("serving")
	var err error
	select {
	case <-ctx.Done():
		err = h.stop()
	case <-h.stopNow:
		err = ErrStoppedNow
	case err := <-ended:
		return fmt.Errorf("supervisor ended: %w", err)
	}
	cancel()
	<-ended
	h.peerClient.Close()
	return err
}

// runDispatchTimer calls the dispatchers' timers every dispatchTickInterval until ctx ends.
func (h *Host) runDispatchTimer(ctx context.Context) error {
	tick := h.timers.Subscribe("dispatch", dispatchTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			h.shards.Tick(h.timers.Now())
		}
	}
}

// CallersAddr returns the listen address for callers.
func (h *Host) CallersAddr() string { return h.callerListener.Addr().String() }

// OperatorsAddr returns the listen address of the operators' API.
func (h *Host) OperatorsAddr() string { return h.operatorListener.Addr().String() }
