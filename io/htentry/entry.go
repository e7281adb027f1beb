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
	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htrelay"
	"hawthornturn/core/htselect"
	"hawthornturn/core/httime"
	"hawthornturn/io/htgossip"
	"hawthornturn/io/htservice"
)

// Settings describe the host.
type Settings struct {
	Self      htgroup.Member
	Seeds     []netip.AddrPort // hosts that may be running
	Callers   string           // address for callers
	Balancer  string           // address for the platform's balancer
	ReadyPath string
	Metrics   string // address for metrics besides the one for other hosts; may be empty
	Limits    htselect.Limits
	Grace     time.Duration // from SIGTERM until the process is killed
	// FirstStart is set while the whole system starts for the first time: no host has a row
	// in the store yet.
	FirstStart bool
}

// Directory lists the entry hosts in the platform's store.
type Directory interface {
	Register(ctx context.Context, m htgroup.Member) error
	Members(ctx context.Context) ([]htgroup.Member, error)
}

// Decoder makes a declaration of a row.
type Decoder interface {
	Decode(t htmirror.Table, r htmirror.Row) (htcatalog.Declaration, error)
}

// Ports are the surroundings of the host.
type Ports struct {
	Store     htmirror.Store
	Directory Directory
	Decoder   Decoder
	Sender    htrelay.Sender
	Prober    htrelay.Prober
	// Handler serves callers with the relay.
	Handler func(*Entry) http.Handler
	// Retain is told the addresses of all upstreams after each change.
	Retain func(addresses map[string]bool)
	// Log counts the lines of the log; it may be nil.
	Log LogCounts
}

// Entry is one entry host.
type Entry struct {
	settings Settings
	ports    Ports
	timers   *httime.Service
	relay    *htrelay.Relay

	mu          sync.Mutex // guards the fields below
	group       *htgroup.Group
	mirror      *htmirror.Mirror
	decoded     map[string]decoded
	heardLast   map[htgossip.PeerID]lastMessage
	config      *htcatalog.Config
	graceEnd    time.Time         // when the next lapsed upstream is dropped
	passed      htmirror.Versions // newest versions of which this host told as a hub
	behindSince time.Time         // when a message that was passed on named newer rows

	catalog  atomic.Pointer[htcatalog.Catalog]
	stopping atomic.Bool
	// toldReady is what the balancer was told last.
	toldReady atomic.Bool
	changes   chan change
	behind    chan netip.AddrPort
	unapplied chan struct{} // rows have changed that are not in the catalog
	complete  atomic.Bool   // all tables were read and applied
	bundles   chan htgossip.Message

	incarnation uint32
	sequence    atomic.Uint32

	gossip   *htgossip.Conn
	sync     *htgossip.Client
	callers  net.Listener
	balancer net.Listener
	peers    net.Listener
	front    *http.Server
	metrics  *hostMetrics
}

// groupView gives the selector the group under the lock of the entry.
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
func New(settings Settings, ports Ports) (*Entry, error) {
	timers := httime.New()
	now := timers.Now()
	e := &Entry{
		settings:  settings,
		ports:     ports,
		timers:    timers,
		group:     htgroup.New(settings.Self, now),
		mirror:    htmirror.New(),
		decoded:   map[string]decoded{},
		changes:   make(chan change, maxChanges),
		behind:    make(chan netip.AddrPort, 1),
		unapplied: make(chan struct{}, 1),
		bundles:   make(chan htgossip.Message, maxMessages),

		incarnation: rand.Uint32(),
		heardLast:   map[htgossip.PeerID]lastMessage{},
		sync:        htgossip.NewClient(),
		metrics:     newMetrics(),
	}
	for _, seed := range settings.Seeds {
		e.group.Add(htgroup.Member{Address: seed})
	}
	e.catalog.Store(htcatalog.New(nil, nil, nil))
	selector := htselect.New(settings.Self.Domain, groupView{e}, settings.Limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.relay = htrelay.New(selector, ports.Sender, e, e, timers.Now)
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	e.front = e.newFront()
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	if e.gossip, err = htgossip.Listen(e.settings.Self.Address); err != nil {
		return err
	}
	listeners := []struct {
		into    *net.Listener
		address string
		name    string
	}{
		{&e.callers, e.settings.Callers, "callers"},
		{&e.balancer, e.settings.Balancer, "balancer"},
		{&e.peers, e.settings.Self.Address.String(), "peers"},
	}
	for _, l := range listeners {
		if *l.into, err = net.Listen("tcp4", l.address); err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callers, e.balancer, e.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Relay returns the relay of the host.
func (e *Entry) Relay() *htrelay.Relay { return e.relay }

// Catalog returns the declarations in use.
func (e *Entry) Catalog() *htcatalog.Catalog { return e.catalog.Load() }

// Now returns the current time.
func (e *Entry) Now() time.Time { return e.timers.Now() }

// Probe implements htrelay.Prober.
func (e *Entry) Probe(ctx context.Context, to htcatalog.Upstream, healthPath string) (htselect.Observation, error) {
	e.metrics.probes.Add(1)
	return e.ports.Prober.Probe(ctx, to, healthPath)
}

// Ready reports whether the host takes new connections, and if not, why.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.stopping.Load():
		return false, "stopping"
	case e.Catalog().Config == nil:
		return false, "no configuration yet"
	case !e.complete.Load():
		return false, "announcements of upstreams not read yet"
	}
	return true, ""
}

// Run serves until ctx ends and then makes a planned stop.
func (e *Entry) Run(ctx context.Context) error {
	supervised, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New(e.settings.Self.Name, suture.Spec{EventHook: htservice.LogEvent})
	parts := map[string]func(context.Context) error{
		"callers":          func(c context.Context) error { return htservice.HTTP(c, e.front, e.callers) },
		"balancer":         func(c context.Context) error { return htservice.HTTP(c, e.newBalancerSide(), e.balancer) },
		"peers":            func(c context.Context) error { return htservice.HTTP(c, e.newPeerSide(), e.peers) },
		"gossip":           func(c context.Context) error { return e.gossip.Serve(c, e.receive) },
		"beat":             e.beat,
		"announce":         e.announce,
		"apply":            e.applyChanges,
		"hub":              e.relayMessages,
		"follow-declared":  func(c context.Context) error { return e.follow(c, htmirror.Declared) },
		"follow-announced": func(c context.Context) error { return e.follow(c, htmirror.Announced) },
		"catch-up":         e.catchUp,
		"directory":        e.join,
	}
	if e.settings.Metrics != "" {
		parts["metrics"] = e.exposeMetrics
	}
	for name, serve := range parts {
		supervisor.Add(htservice.Service{Name: name, Run: serve})
	}
	ended := supervisor.ServeBackground(supervised)
	logrus.WithFields(logrus.Fields{
		"event": "host-started", "host": e.settings.Self.Name, "failure-domain": e.settings.Self.Domain,
		"callers": e.settings.Callers, "peers": e.settings.Self.Address,
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
func (e *Entry) CallersAddr() string { return e.callers.Addr().String() }
