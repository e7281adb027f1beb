package htpath

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htview"
)

// step is a stage of a call at which a test can inject a fault.
type step string

const (
	stepAccept     step = "accept"
	stepQueue      step = "queue"
	stepForward    step = "forward"
	stepSend       step = "send"
	stepAwait      step = "await-answer"
	stepAnswerBack step = "answer-back"
)

const (
	testWork     = 20 * time.Millisecond
	testLease    = 5 * time.Second
	testTakeover = 7 * time.Second
	testSilence  = time.Second
)

// cluster is a set of entry hosts with in-memory peers and upstreams, in virtual time.
type cluster struct {
	t         *testing.T
	mu        sync.Mutex
	view      htview.View
	set       *htresource.Set
	hosts     map[string]*entryHost
	upstreams *fakeUpstreams
	// random generates keys and call IDs from a fixed seed, so that runs are
	// reproducible.
	random *lockedRandom
	// hook is called at each step with the host that performs it. Its error fails the
	// step.
	hook func(s step, h *entryHost, call *Call) error
}

// setHook replaces the hook.
func (c *cluster) setHook(hook func(s step, h *entryHost, call *Call) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = hook
}

// runHook calls the hook for a step.
func (c *cluster) runHook(s step, h *entryHost, call *Call) error {
	c.mu.Lock()
	hook := c.hook
	c.mu.Unlock()
	return hook(s, h, call)
}

// entryHost is one entry host. It implements Ownership and DeclaredState.
type entryHost struct {
	cluster  *cluster
	name     string
	ctx      context.Context
	kill     context.CancelFunc
	lease    time.Time // zero while the lease is renewed
	serving  map[htview.Shard]bool
	isolated bool // the host reaches no other host and none reaches it
	shards   *Shards
	keys     *KeyOwner
	handler  *CallHandler
	crashes  *Quarantine
	set      *htresource.Set // the last declared state that the host received
}

// Current implements DeclaredState.
func (h *entryHost) Current() *htresource.Set {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.set
}

func newCluster(t *testing.T) *cluster {
	htassert.PanicOnViolation.Store(true)
	c := &cluster{t: t, hosts: map[string]*entryHost{}, set: clusterState(), random: &lockedRandom{source: rand.NewChaCha8([32]byte{1})}, hook: func(step, *entryHost, *Call) error { return nil }}
	c.upstreams = &fakeUpstreams{cluster: c, runs: map[string]int{}, inFlight: map[string]int{}, lastSent: map[string]time.Time{}}
	for i, domain := range []string{"east", "west", "east"} {
		name := fmt.Sprintf("host-%d", i)
		c.view = c.view.With(htview.Member{Host: name, Incarnation: "1", Address: name, Domain: domain})
	}
	for _, m := range c.view.Members {
		c.addHost(m.Host)
	}
	for shard := range c.allShards() {
		owner, _ := c.view.Owner(shard)
		c.install(c.hosts[owner.Host], shard, nil)
	}
	// After a start without key records, keys that were created before the start, or up to
	// twice the clock skew after it, are rejected.
	time.Sleep(2 * htonce.DefaultMaxClockSkew)
	return c
}

func clusterState() *htresource.Set {
	set := &htresource.Set{Revision: 1}
	for _, d := range []string{"east", "west"} {
		set.Domains = append(set.Domains, htresource.FailureDomain{Name: d, State: htresource.DomainIn})
	}
	pool := htresource.Pool{Name: "shop", ColdLimit: 1, QueueLimit: 100}
	for i := range 4 {
		pool.Upstreams = append(pool.Upstreams, htresource.Upstream{
			Name: fmt.Sprintf("up-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: []string{"east", "west"}[i%2], Slots: 2,
		})
	}
	set.Pools = []htresource.Pool{pool}
	set.Services = []htresource.Service{{Name: "shop", Hosts: []string{"shop.test"}, Pool: "shop", TimeoutMS: 2000}}
	return set
}

func (c *cluster) allShards() map[htview.Shard]bool {
	all := map[htview.Shard]bool{htview.PoolShard("shop", "east"): true, htview.PoolShard("shop", "west"): true}
	for n := range htview.KeyPartitions {
		all[htview.Shard{Partition: n}] = true
	}
	return all
}

func (c *cluster) addHost(name string) {
	h := &entryHost{cluster: c, name: name, serving: map[htview.Shard]bool{}, crashes: NewQuarantine()}
	h.ctx, h.kill = context.WithCancel(context.Background())
	peers := &fakePeers{entryHost: h}
	reporter := NewReporter(peers)
	h.keys = NewKeyOwner(htonce.Config{}, reporter, time.Now)
	h.shards = NewShards(c.upstreams.of(h), h.keys, reporter, time.Now)
	h.shards.Bind(h)
	router := NewRouter(name, h, h, peers, h.shards, h.crashes, htroute.New(rand.New(rand.NewPCG(1, 2))), time.Now)
	h.keys.Bind(h, router)
	h.handler = NewCallHandler(name, h, peers, h.keys, router, h.shards, time.Now)
	h.set = c.set
	h.shards.Apply(c.set)
	c.hosts[name] = h
	go func() {
		for h.ctx.Err() == nil {
			h.shards.Tick(time.Now())
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

// declare changes the declared state on all hosts that are running and reachable.
func (c *cluster) declare(edit func(*htresource.Set)) {
	c.mu.Lock()
	next := *c.set
	next.Revision++
	next.Domains = append([]htresource.FailureDomain(nil), next.Domains...)
	edit(&next)
	c.set = &next
	var reached []*entryHost
	for _, h := range c.hosts {
		if h.ctx.Err() == nil && !h.isolated {
			h.set = &next
			reached = append(reached, h)
		}
	}
	c.mu.Unlock()
	for _, h := range reached {
		h.shards.Apply(&next)
	}
}

func (c *cluster) install(h *entryHost, shard htview.Shard, state []byte) {
	h.shards.Install(shard, state)
	c.mu.Lock()
	defer c.mu.Unlock()
	h.serving[shard] = true
}

// takeOver removes a host from the view after its lease has expired. The new owners
// start without the state of the lost host.
func (c *cluster) takeOver(lost *entryHost) {
	c.mu.Lock()
	lost.lease = time.Now()
	c.mu.Unlock()
	time.Sleep(testTakeover)
	c.moveShards(lost, func(htview.Shard) []byte { return nil })
}

// handOver simulates a planned stop of a host: its shards move with their state.
func (c *cluster) handOver(leaving *entryHost) {
	c.moveShards(leaving, func(s htview.Shard) []byte {
		c.mu.Lock()
		delete(leaving.serving, s)
		c.mu.Unlock()
		return leaving.shards.Collect(s)
	})
}

func (c *cluster) moveShards(from *entryHost, state func(htview.Shard) []byte) {
	c.mu.Lock()
	next := c.view.Without(from.name)
	var moved []htview.Shard
	for shard := range c.allShards() {
		if owner, _ := c.view.Owner(shard); owner.Host == from.name {
			moved = append(moved, shard)
		}
	}
	c.mu.Unlock()
	for _, shard := range moved {
		owner, _ := next.Owner(shard)
		c.install(c.hosts[owner.Host], shard, state(shard))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = next
}

// View implements Ownership.
func (h *entryHost) View() htview.View {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.view
}

// Owner implements Ownership.
func (h *entryHost) Owner(s htview.Shard) (htview.Member, bool) {
	return h.View().Owner(s)
}

// Serving implements Ownership.
func (h *entryHost) Serving(s htview.Shard) bool {
	valid := h.LeaseUntil(time.Now()).After(time.Now())
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.serving[s] && valid
}

// LeaseUntil implements Ownership.
func (h *entryHost) LeaseUntil(now time.Time) time.Time {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if h.lease.IsZero() {
		return now.Add(testLease)
	}
	return h.lease
}

// callResult is what a caller received for one call. The zero value means that it got
// no answer.
type callResult struct {
	outcome htcall.Outcome
	reason  htcall.Reason
	body    string
}

// sendCall sends a call through a host, as a caller does. If the host is killed, the
// caller gets no answer and the result is zero.
func (c *cluster) sendCall(host, uri, key string, timeout time.Duration) callResult {
	h := c.hosts[host]
	call := &Call{
		Meta: htcall.Meta{
			ID: uuid.Must(uuid.NewRandomFromReader(c.random)).String(), Service: "shop", Caller: "tester", Method: http.MethodPost, URI: uri,
			Idempotent: key == "", Key: key, Remaining: timeout,
		},
		Deadline: time.Now().Add(timeout),
		Header:   http.Header{},
		Body:     &Body{},
	}
	if c.runHook(stepAccept, h, call) != nil || h.ctx.Err() != nil {
		return callResult{}
	}
	ctx, cancel := context.WithDeadline(h.ctx, call.Deadline)
	defer cancel()
	answer := h.handler.HandleCall(ctx, call)
	if h.ctx.Err() != nil {
		go answer.Discard()
		return callResult{}
	}
	result := callResult{outcome: answer.Outcome, reason: answer.Reason}
	if answer.Body != nil {
		content, err := io.ReadAll(answer.Body)
		if err != nil {
			return callResult{}
		}
		_ = answer.Body.Close()
		result.body = string(content)
	}
	return result
}

// newKey returns a new request key with the current time.
func (c *cluster) newKey() string {
	return uuid.Must(uuid.NewV7FromReader(c.random)).String()
}

// close stops all hosts and waits for their goroutines.
func (c *cluster) close() {
	waitForIdle()
	for _, h := range c.hosts {
		h.kill()
	}
	waitForIdle()
}

// waitForIdle waits until the calls that are still running have ended.
func waitForIdle() {
	time.Sleep(30 * time.Second)
}

// lockedRandom is a seeded random source that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	source *rand.ChaCha8
}

// Read implements io.Reader.
func (r *lockedRandom) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Read(p)
}
