package htview_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hawthornturn/core/htonce"
	"hawthornturn/core/httime"
	"hawthornturn/core/htview"
)

var errKilled = errors.New("process was killed")

// gate blocks the calls of a paused host to the table, to peers and to the host list,
// and the calls of peers to it. Blocked calls fail when the process is killed.
type gate struct {
	mu      sync.Mutex
	running chan struct{} // closed while the host runs
	ended   chan struct{}
}

func newGate() *gate {
	g := &gate{running: make(chan struct{}), ended: make(chan struct{})}
	close(g.running)
	return g
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.running:
		g.running = make(chan struct{})
	default:
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.running:
	default:
		close(g.running)
	}
}

func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	running := g.running
	g.mu.Unlock()
	select {
	case <-g.ended:
		return errKilled
	case <-ctx.Done():
		return ctx.Err()
	case <-running:
		return nil
	}
}

func (g *gate) killed() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// host is one simulated process of an entry host.
type host struct {
	cluster *cluster
	self    htview.Member
	m       *htview.Manager
	gate    *gate
	cancel  context.CancelFunc
	skew    time.Duration // of its wall clock

	mu            sync.Mutex
	fault         tableFault
	owner         *htonce.Owner
	releasesSent  int                     // number of Release calls made
	states        map[htview.Shard]string // state of each served shard
	emptyInstalls map[htview.Shard]int    // number of installs with a nil state
}

func (h *host) tableFault() tableFault {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fault
}

func (h *host) releaseCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.releasesSent
}

func (c *cluster) resetEmptyInstalls() {
	for _, h := range c.live() {
		h.mu.Lock()
		clear(h.emptyInstalls)
		h.mu.Unlock()
	}
}

func (h *host) setTable(f tableFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
}

// now returns the time on the host's wall clock, which differs from the bubble's clock
// by skew.
func (h *host) now() time.Time { return time.Now().Add(h.skew) }

// leaseEnd returns the end of the lease on the host's wall clock, or the zero time.
func (h *host) leaseEnd() time.Time {
	until := h.m.LeaseUntil(time.Now())
	if until.IsZero() {
		return until
	}
	return until.Add(h.skew)
}

// Collect implements htview.Handover.
func (h *host) Collect(s htview.Shard) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.states[s]
	delete(h.states, s)
	if !s.IsPool() {
		return h.owner.Export(h.now(), s)
	}
	return []byte(state)
}

// Install implements htview.Handover.
func (h *host) Install(s htview.Shard, state []byte) {
	h.cluster.checkNotServedElsewhere(s, h)
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == nil {
		h.emptyInstalls[s]++
	}
	h.states[s] = string(state)
	if !s.IsPool() {
		if err := h.owner.Install(h.now(), s, state); err != nil {
			panic(err)
		}
	}
}

// Drop implements htview.Handover.
func (h *host) Drop(s htview.Shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.states, s)
	h.owner.Drop(s)
}

// Outgoing implements htview.GossipSource.
func (h *host) Outgoing(time.Time) htview.Gossip { return htview.Gossip{AppliedRevision: 7} }

// Incoming implements htview.GossipSource.
func (h *host) Incoming(time.Time, htview.Member, htview.Gossip) {}

// Hosts implements htview.HostList.
func (h *host) Hosts(ctx context.Context) ([]htview.ListedHost, error) {
	if err := h.gate.wait(ctx); err != nil {
		return nil, err
	}
	return h.cluster.listed(), nil
}

// Heartbeat implements htview.Peers.
func (h *host) Heartbeat(ctx context.Context, to htview.Member, hb htview.Heartbeat) (reply htview.HeartbeatReply, err error) {
	err = h.call(ctx, to, func(target *host) error {
		reply = target.m.HandleHeartbeat(hb)
		return nil
	})
	return reply, err
}

// Renew implements htview.Peers.
func (h *host) Renew(ctx context.Context, to htview.Member, lease htview.Lease) error {
	return h.call(ctx, to, func(target *host) error { return target.m.HandleRenew(ctx, lease) })
}

// Release implements htview.Peers.
func (h *host) Release(ctx context.Context, to htview.Member, r htview.Release) error {
	h.mu.Lock()
	h.releasesSent++
	h.mu.Unlock()
	return h.call(ctx, to, func(target *host) error { return target.m.HandleRelease(r) })
}

// call delivers a request to the process at the address of to, and its reply back.
func (h *host) call(ctx context.Context, to htview.Member, handle func(*host) error) error {
	if err := h.gate.wait(ctx); err != nil {
		return err
	}
	target := h.cluster.hostAt(to.Address)
	if err := h.cluster.deliver(ctx, h, target); err != nil {
		return err
	}
	if target.gate.killed() {
		return fmt.Errorf("call %s: %w", to.Host, htview.ErrConnectionRefused)
	}
	if err := target.gate.wait(ctx); err != nil {
		return err
	}
	handled := handle(target)
	if err := h.cluster.deliver(ctx, target, h); err != nil {
		return err
	}
	if err := h.gate.wait(ctx); err != nil {
		return err
	}
	return handled
}

func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.m = htview.New(htview.Config{Self: h.self}, tableConn{table: h.cluster.table, host: h}, h, h, h, h, httime.New())
	h.m.SetShards(h.cluster.pools)
	go func() { _ = h.m.Serve(ctx) }()
}

// kill ends the process. Its address then refuses connections.
func (h *host) kill() {
	if !h.gate.killed() {
		close(h.gate.ended)
	}
	h.cancel()
}
