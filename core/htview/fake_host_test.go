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

// gate holds back a paused host at each of its port calls.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the host runs
	dead   chan struct{}
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{}), dead: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-g.dead:
		return errKilled
	case <-ctx.Done():
		return ctx.Err()
	case <-opened:
		return nil
	}
}

func (g *gate) killed() bool {
	select {
	case <-g.dead:
		return true
	default:
		return false
	}
}

// host is one process of an entry host.
type host struct {
	cluster *cluster
	self    htview.Member
	m       *htview.Manager
	gate    *gate
	cancel  context.CancelFunc
	skew    time.Duration // of its wall clock

	mu    sync.Mutex
	fault tableFault
	owner *htonce.Owner
	sent  int                     // releases
	memos map[htview.Shard]string // what each served shard remembers
	fresh map[htview.Shard]int    // installs without memory
}

func (h *host) tableFault() tableFault {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fault
}

func (h *host) releases() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent
}

func (c *cluster) forgetFresh() {
	for _, h := range c.live() {
		h.mu.Lock()
		clear(h.fresh)
		h.mu.Unlock()
	}
}

func (h *host) setTable(f tableFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
}

// now is the host's clock: the monotonic reading is the bubble's, the wall differs.
func (h *host) now() time.Time { return time.Now().Add(h.skew) }

// lease is the end of the lease on the host's clock.
func (h *host) lease() time.Time {
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
	memo := h.memos[s]
	delete(h.memos, s)
	if !s.IsPool() {
		return h.owner.Export(h.now(), s)
	}
	return []byte(memo)
}

// Install implements htview.Handover.
func (h *host) Install(s htview.Shard, state []byte) {
	h.cluster.checkFree(s, h)
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == nil {
		h.fresh[s]++
	}
	h.memos[s] = string(state)
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
	delete(h.memos, s)
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
	h.sent++
	h.mu.Unlock()
	return h.call(ctx, to, func(target *host) error { return target.m.HandleRelease(r) })
}

// call carries a request to the process at an address and its answer back.
func (h *host) call(ctx context.Context, to htview.Member, handle func(*host) error) error {
	if err := h.gate.wait(ctx); err != nil {
		return err
	}
	target := h.cluster.at(to.Address)
	if err := h.cluster.travel(ctx, h, target); err != nil {
		return err
	}
	if target.gate.killed() {
		return fmt.Errorf("call %s: %w", to.Host, htview.ErrConnectionRefused)
	}
	if err := target.gate.wait(ctx); err != nil {
		return err
	}
	handled := handle(target)
	if err := h.cluster.travel(ctx, target, h); err != nil {
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

// kill ends the process: its address refuses connections.
func (h *host) kill() {
	if !h.gate.killed() {
		close(h.gate.dead)
	}
	h.cancel()
}
