package hthost

import (
	"context"
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
	"hawthornturn/core/htonce"
	"hawthornturn/core/htpath"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htroute"
	"hawthornturn/core/httime"
	"hawthornturn/core/htview"
	"hawthornturn/io/htback"
	"hawthornturn/io/htfront"
	"hawthornturn/io/htpeer"
	"hawthornturn/io/htplatform"
	"hawthornturn/io/htservice"
	"hawthornturn/io/htsettings"
)

// dispatchPeriod is the time between checks for expired calls and held slots.
const dispatchPeriod = 5 * time.Millisecond

// Host is one entry host.
type Host struct {
	settings htsettings.Settings
	timers   *httime.Service
	started  time.Time
	stopping atomic.Bool
	stopNow  chan struct{}
	stopOnce sync.Once

	table     *htplatform.Table
	hostList  *hostList
	peers     *htpeer.Client
	peerSide  *htpeer.Server
	upstreams *htback.Client
	manager   *htview.Manager
	follower  *htconfig.Follower
	reporter  *htpath.Reporter
	keys      *htpath.KeyOwner
	shards    *htpath.Shards
	entrance  *htpath.CallHandler
	metrics   *htfront.Metrics

	callers   net.Listener
	operators net.Listener
	frontSide *http.Server
	apiSide   *http.Server
}

// New opens the listeners of an entry host and connects its parts. Run starts it.
func New(settings htsettings.Settings) (*Host, error) {
	h := &Host{
		settings: settings,
		timers:   httime.New(),
		started:  time.Now(),
		stopNow:  make(chan struct{}),
		metrics:  htfront.NewMetrics(),
	}
	config, err := htpeer.TLSFiles(settings.PeerTLS).Load()
	if err != nil {
		return nil, err
	}
	if err := h.listen(config); err != nil {
		h.closeListeners()
		return nil, err
	}
	h.peers = htpeer.NewClient(config)
	h.table = htplatform.NewTable(htplatform.Settings{URL: settings.Platform.Table})
	h.hostList = &hostList{list: htplatform.NewHostList(htplatform.Settings{URL: settings.Platform.HostList})}
	h.upstreams = htback.New()
	h.connect()
	return h, nil
}

// connect builds the core parts.
func (h *Host) connect() {
	now := h.timers.Now
	name := h.settings.Name
	quarantine := htpath.NewQuarantine()
	h.reporter = htpath.NewReporter(h.peers)
	h.keys = htpath.NewKeyOwner(htonce.Config{MaxClockSkew: h.settings.MaxClockSkew}, h.reporter, now)
	h.shards = htpath.NewShards(h.upstreams, h.keys, h.reporter, now)
	gossip := &gossip{quarantine: quarantine}
	h.manager = htview.New(h.viewConfig(), h.table, h.peers, h.hostList, h.shards, gossip, h.timers)
	h.shards.Bind(h.manager)
	snapshots := &snapshots{manager: h.manager, peers: h.peers}
	store := htconfig.NewStore(h.table, uuid.NewString)
	h.follower = htconfig.NewFollower(name, store, snapshots, &others{manager: h.manager}, h.timers)
	gossip.follower = h.follower
	seed := rand.NewPCG(rand.Uint64(), rand.Uint64())
	router := htpath.NewRouter(name, h.manager, h.follower, h.peers, h.shards, quarantine, htroute.New(rand.New(seed)), now)
	h.keys.Bind(h.manager, router)
	h.entrance = htpath.NewCallHandler(name, h.manager, h.peers, h.keys, router, h.shards, now)
	h.follower.Subscribe(h.applySet)
	h.peerSide.HandleMembers(h.manager)
	h.peerSide.HandleCalls(h.entrance)
	h.peerSide.HandleHandoverReports(h.keys, h.shards)
	h.peerSide.HandleSnapshots(&snapshotServer{follower: h.follower})
	front := htfront.New(htfront.Config{
		Host:        name,
		HeaderBytes: int(h.settings.Limits.HeaderBytes),
		BodyBytes:   h.settings.Limits.BodyBytes,
	}, h.follower, h.entrance, h.ready, h.metrics)
	h.frontSide = front.Server()
	h.apiSide = h.newAPI(store, snapshots)
}

func (h *Host) viewConfig() htview.Config {
	lease := h.settings.Lease
	return htview.Config{
		Self: htview.Member{
			Host:        h.settings.Name,
			Incarnation: uuid.NewString(),
			Address:     h.peerSide.Addr(),
			Domain:      h.settings.FailureDomain,
		},
		LeaseRenewInterval: lease.Renew,
		LeaseDuration:      lease.Duration,
		TakeoverDelay:      lease.TakeoverDelay,
		HeartbeatInterval:  h.settings.Heartbeat,
		HoldDuration:       lease.HoldDuration,
		UnlistedTimeout:    lease.GoneAfter,
	}
}

// applySet passes a new declared state to the dispatchers and to membership.
func (h *Host) applySet(set *htresource.Set) {
	h.manager.SetShards(h.shards.Apply(set))
	keep := map[string]bool{}
	for _, p := range set.Pools {
		for _, u := range p.Upstreams {
			keep[u.Address] = true
		}
	}
	h.upstreams.Retain(keep)
}

// ready tells the platform's balancer whether to send calls here.
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

// StopNow ends Run at once, also during a planned stop: calls in flight are cut and
// the shards pass on only after the lease has lapsed.
func (h *Host) StopNow() {
	h.stopOnce.Do(func() { close(h.stopNow) })
}

// Run serves until ctx ends and then makes a planned stop. It returns nil if the
// stop cut no call.
func (h *Host) Run(ctx context.Context) error {
	supervised, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New(h.settings.Name, suture.Spec{EventHook: htservice.LogEvent})
	supervisor.Add(h.manager)
	supervisor.Add(h.follower)
	supervisor.Add(h.peerSide)
	supervisor.Add(htservice.Service{Name: "callers", Run: func(ctx context.Context) error { return htservice.HTTP(ctx, h.frontSide, h.callers) }})
	supervisor.Add(htservice.Service{Name: "operators", Run: func(ctx context.Context) error { return htservice.HTTP(ctx, h.apiSide, h.operators) }})
	supervisor.Add(htservice.Service{Name: "dispatch-timer", Run: h.tickShards})
	supervisor.Add(htservice.Service{Name: "host-list", Run: h.watchHostList})
	ended := supervisor.ServeBackground(supervised)
	logrus.WithFields(logrus.Fields{
		"event": "host-started", "host": h.settings.Name, "failure-domain": h.settings.FailureDomain,
		"callers": h.callers.Addr(), "peers": h.peerSide.Addr(), "operators": h.operators.Addr(),
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
	h.peers.Close()
	return err
}

// tickShards drives the dispatchers' timers.
func (h *Host) tickShards(ctx context.Context) error {
	tick := h.timers.Subscribe("dispatch", dispatchPeriod)
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

// CallersAddr returns the address for callers.
func (h *Host) CallersAddr() string { return h.callers.Addr().String() }

// OperatorsAddr returns the address of the operators' API.
func (h *Host) OperatorsAddr() string { return h.operators.Addr().String() }
