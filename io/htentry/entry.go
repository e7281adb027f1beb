package htentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htfair"
	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htrelay"
	"hawthornturn/core/htrollout"
	"hawthornturn/core/htselect"
	"hawthornturn/core/httime"
	"hawthornturn/core/htusage"
	"hawthornturn/io/htclient"
	"hawthornturn/io/htgossip"
	"hawthornturn/io/htpipeline"
	"hawthornturn/io/htservice"
)

// Settings are the settings of one host.
type Settings struct {
	Self           htgroup.Member
	Seeds          []netip.AddrPort // hosts that may be running
	CallersAddress string           // listen address for callers
	ReadyAddress   string           // listen address for readiness checks of the platform's balancer
	ReadyPath      string
	MetricsAddress string // additional listen address for metrics; if empty, they are served only at the address for other hosts
	Limits         htselect.Limits
	Usage          htusage.Settings
	Rollouts       htrollout.Limits
	BodyMemory     int64         // bytes for the bodies of all calls in flight; 0: not bounded
	Memory         int64         // bytes that the process may hold; 0: connections are not bounded by memory
	Descriptors    int           // sockets that the process may hold; 0: connections are not bounded
	GracePeriod    time.Duration // from SIGTERM to SIGKILL
	// FirstStart is set on the first start of the whole system, when no host has a row in the
	// store yet.
	FirstStart bool
}

// Directory is the list of entry hosts in the platform's store.
type Directory interface {
	Register(ctx context.Context, m htgroup.Member) error
	Members(ctx context.Context) ([]htgroup.Member, error)
}

// Decoder decodes a row into a declaration.
type Decoder interface {
	Decode(t htmirror.Table, r htmirror.Row) (htcatalog.Declaration, error)
}

// Handler serves the requests of callers, some of them before their turn.
type Handler interface {
	http.Handler
	htpipeline.Starter
}

// RolloutStatuses is where the states of roll-outs are written for operators.
type RolloutStatuses interface {
	// ReadStatus returns the status of a service and the version of its row, or version 0 if
	// there is none.
	ReadStatus(ctx context.Context, service string) (htrollout.Status, int64, error)
	// WriteStatus writes the status if the version of the row is still the expected one, and
	// returns the new version. Otherwise the error wraps htrollout.ErrConflict.
	WriteStatus(ctx context.Context, service string, s htrollout.Status, expected int64) (int64, error)
}

// Dependencies are the platform's parts that a host uses.
type Dependencies struct {
	Store     htmirror.Store
	Directory Directory
	Decoder   Decoder
	// RolloutStatuses may be nil; then no roll-out completes.
	RolloutStatuses RolloutStatuses

	Sender htrelay.Sender
	Prober htrelay.Prober
	// NewHandler returns the handler of callers' requests.
	NewHandler func(*Entry) Handler
	// RetainConnections is called after each change with the addresses of all upstreams, so
	// that connections to others can be closed.
	RetainConnections func(addresses map[string]bool)
	// Log provides the counts of log lines; it may be nil.
	Log LogCounts
}

// Entry is one entry host.
type Entry struct {
	settings Settings
	deps     Dependencies
	timers   *httime.Service
	relay    *htrelay.Relay
	usage    *htusage.Limiter
	memory   *htmemory.Budget

	mu            sync.Mutex // guards the fields below
	group         *htgroup.Group
	mirror        *htmirror.Mirror
	decodedRows   map[rowKey]decodedRow
	lastMessages  map[htgossip.PeerID]lastMessage
	config        *htcatalog.Config
	refusedConfig *htcatalog.Config   // the newest one that was refused
	lapseGraceEnd time.Time           // when the next lapsed row (htmirror.Row.Lapsed) goes out of use; zero if there is none
	forwarded     htmirror.Position   // newest position that this host has forwarded as a hub
	eraChanged    chan struct{}       // closed when the era of the store changes; nil if nobody waits for it
	versions      map[string][]string // of the upstreams, by service, for logs
	rollouts      rolloutState
	demands       *htfair.Gatherer
	behindSince   time.Time // when a heartbeat named newer rows that are expected via the hub

	registered bool // used by registerWithRetry only

	catalog  atomic.Pointer[htcatalog.Catalog]
	stopping atomic.Bool
	// reportedReady is the last answer to a readiness check.
	reportedReady atomic.Bool
	changes       chan change
	fetchSources  chan netip.AddrPort
	rolloutsWake  chan struct{} // signals orders or reports on roll-outs
	statusWake    chan struct{} // signals that the status of a roll-out may have to be written
	rowsPending   chan struct{} // signals changed rows that are not in the catalog yet
	tablesApplied atomic.Bool   // all tables were read and applied
	forwardQueue  chan htgossip.Message
	usageLimited  chan struct{} // signals accounts with a limit

	incarnation uint32
	sequence    atomic.Uint32

	gossip         *htgossip.Conn
	rowClient      *htgossip.Client
	callerListener net.Listener
	readyListener  net.Listener
	peerListener   net.Listener
	pipeline       *htpipeline.Listener // callerListener, with the requests that are sent ahead
	callerServer   *http.Server
	metrics        *hostMetrics

	// Bounds of the connections to the listeners.
	callers, balancer, peers, operators *htclient.Table
}

// groupView implements htselect.Group; it locks e.mu for each access to the group.
type groupView struct{ entry *Entry }

// Size implements htselect.Group.
func (v groupView) Size(now time.Time) int {
	v.entry.mu.Lock()
	defer v.entry.mu.Unlock()
	return v.entry.group.Size(now)
}

// RankAll implements htselect.Group.
func (v groupView) RankAll(key uint64) int {
	v.entry.mu.Lock()
	defer v.entry.mu.Unlock()
	return v.entry.group.RankAll(key)
}

// New opens the listeners of the host. Run starts it.
func New(settings Settings, deps Dependencies) (*Entry, error) {
	timers := httime.New()
	now := timers.Now()
	e := &Entry{
		settings:     settings,
		deps:         deps,
		timers:       timers,
		usage:        htusage.New(settings.Usage, settings.Self.Domain, now, newRandom()),
		memory:       htmemory.NewBudget(settings.BodyMemory),
		group:        htgroup.New(settings.Self, now),
		mirror:       htmirror.New(),
		decodedRows:  map[rowKey]decodedRow{},
		changes:      make(chan change, maxQueuedChanges),
		fetchSources: make(chan netip.AddrPort, 1),
		rowsPending:  make(chan struct{}, 1),
		rolloutsWake: make(chan struct{}, 1),
		statusWake:   make(chan struct{}, 1),
		forwardQueue: make(chan htgossip.Message, maxQueuedMessages),
		usageLimited: make(chan struct{}, 1),

		incarnation:  rand.Uint32(),
		lastMessages: map[htgossip.PeerID]lastMessage{},
		demands:      htfair.NewGatherer(),
		rowClient:    htgossip.NewClient(),
		metrics:      newMetrics(),
	}
	e.rollouts = newRolloutState(settings.Rollouts, htrollout.Process{
		Host: uint32(htgossip.PeerIDOf(settings.Self.Address.Addr())), Incarnation: e.incarnation,
	})
	for _, seed := range settings.Seeds {
		e.group.Add(htgroup.Member{Address: seed})
	}
	e.catalog.Store(htcatalog.New(nil, nil, nil))
	e.newClientTables()
	selector := htselect.New(settings.Self.Domain, groupView{e}, settings.Limits, newRandom())
	e.relay = htrelay.New(selector, deps.Sender, e, e, e.usage, timers.Now)
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	handler := deps.NewHandler(e)
	e.callerServer = newCallerServer(handler)
	e.pipeline = htpipeline.NewListener(e.callers.Limit(e.callerListener, e.callerServer), handler, timers.Now)
	e.memory.OnShortage(e.callers.ReclaimBodies)
	return e, nil
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (e *Entry) listen() error {
	var err error
	if e.gossip, err = htgossip.Listen(e.settings.Self.Address); err != nil {
		return err
	}
	listeners := []struct {
		listener *net.Listener
		address  string
		name     string
	}{
		{&e.callerListener, e.settings.CallersAddress, "callers"},
		{&e.readyListener, e.settings.ReadyAddress, "balancer"},
		{&e.peerListener, e.settings.Self.Address.String(), "peers"},
	}
	for _, l := range listeners {
		if *l.listener, err = htclient.Listen("tcp4", l.address); err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callerListener, e.readyListener, e.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Relay returns the relay of the host.
func (e *Entry) Relay() *htrelay.Relay { return e.relay }

// Memory returns the budget for the bodies of calls.
func (e *Entry) Memory() *htmemory.Budget { return e.memory }

// Catalog returns the declarations in force.
func (e *Entry) Catalog() *htcatalog.Catalog { return e.catalog.Load() }

// Now returns the current time.
func (e *Entry) Now() time.Time { return e.timers.Now() }

// Probe implements htrelay.Prober.
func (e *Entry) Probe(ctx context.Context, to htcatalog.Upstream, healthPath string) (htselect.Observation, error) {
	e.metrics.probes.Add(1)
	return e.deps.Prober.Probe(ctx, to, healthPath)
}

// Ready reports whether the host accepts new connections, and the reason if it does not.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.stopping.Load():
		return false, "stopping"
	case e.Catalog().Config == nil:
		return false, "no configuration yet"
	case !e.tablesApplied.Load():
		return false, "announcements of upstreams not read yet"
	}
	return true, ""
}

// Run serves until ctx ends and then performs a planned stop. It returns an error if the
// supervisor ends by itself or the stop fails.
func (e *Entry) Run(ctx context.Context) error {
	supervisedCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New(e.settings.Self.Name, suture.Spec{EventHook: htservice.LogEvent})
	services := map[string]func(context.Context) error{
		"callers":          func(c context.Context) error { return htservice.HTTP(c, e.callerServer, e.pipeline) },
		"balancer":         func(c context.Context) error { return e.balancer.Serve(c, e.newReadyServer(), e.readyListener) },
		"peers":            func(c context.Context) error { return e.peers.Serve(c, e.newPeerServer(), e.peerListener) },
		"gossip":           func(c context.Context) error { return e.gossip.Serve(c, e.receive) },
		"beat":             e.sendHeartbeats,
		"announce":         e.sendChanges,
		"apply":            e.applyChanges,
		"hub":              e.forwardMessages,
		"demand":           e.exchangeDemand,
		"usage":            e.shareUsage,
		"follow-declared":  func(c context.Context) error { return e.followTable(c, htmirror.Declared) },
		"follow-announced": func(c context.Context) error { return e.followTable(c, htmirror.Announced) },
		"catch-up":         e.fetchMissingRows,
		"directory":        e.registerWithRetry,
		"rollouts":         e.manageRollouts,
		"rollout-status":   e.keepRolloutStatuses,
	}
	if e.settings.MetricsAddress != "" {
		services["metrics"] = e.exposeMetrics
	}
	for name, run := range services {
		supervisor.Add(htservice.Service{Name: name, Run: run})
	}
	ended := supervisor.ServeBackground(supervisedCtx)
	logrus.WithFields(logrus.Fields{
		"event": "host-started", "host": e.settings.Self.Name, "failure-domain": e.settings.Self.Domain,
		"callers": e.settings.CallersAddress, "peers": e.settings.Self.Address,
	}).Info("serving")
	var err error
	select {
	case <-ctx.Done():
		err = e.stop()
	case err := <-ended:
		return fmt.Errorf("supervisor ended: %w", err)
	}
	cancel()
	<-ended
	logrus.WithFields(logrus.Fields{"event": "host-stopped", "host": e.settings.Self.Name}).Info("stopped")
	return err
}

// CallersAddr returns the address for callers.
func (e *Entry) CallersAddr() string { return e.callerListener.Addr().String() }
