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

// step is a place on the way of a call at which a test injects a fault.
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

// world is a set of entry hosts with in-memory peers and upstreams, in virtual time.
type world struct {
	t     *testing.T
	mu    sync.Mutex
	view  htview.View
	set   *htresource.Set
	nodes map[string]*node
	ups   *fakeUpstreams
	// random makes keys and call ids, so that each run takes the same way.
	random *lockedRandom
	// hook is called at each step on the host that takes it. Its error fails the step.
	hook func(s step, n *node, call *Call) error
}

// setHook replaces the hook.
func (w *world) setHook(hook func(s step, n *node, call *Call) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = hook
}

// at runs the hook of a step.
func (w *world) at(s step, n *node, call *Call) error {
	w.mu.Lock()
	hook := w.hook
	w.mu.Unlock()
	return hook(s, n, call)
}

// node is one entry host.
type node struct {
	world    *world
	name     string
	ctx      context.Context
	kill     context.CancelFunc
	lease    time.Time // zero while the lease is renewed
	serving  map[htview.Shard]bool
	cutOff   bool // no other host is reached
	shards   *Shards
	keys     *KeyOwner
	entrance *CallHandler
	crashes  *Quarantine
	set      *htresource.Set // the declared state that reached the host
}

// Current implements Declared.
func (n *node) Current() *htresource.Set {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.set
}

func newWorld(t *testing.T) *world {
	htassert.PanicOnViolation.Store(true)
	w := &world{t: t, nodes: map[string]*node{}, set: worldSet(), random: &lockedRandom{source: rand.NewChaCha8([32]byte{1})}, hook: func(step, *node, *Call) error { return nil }}
	w.ups = &fakeUpstreams{world: w, runs: map[string]int{}, inFlight: map[string]int{}, lastSent: map[string]time.Time{}}
	for i, domain := range []string{"east", "west", "east"} {
		name := fmt.Sprintf("host-%d", i)
		w.view = w.view.With(htview.Member{Host: name, Incarnation: "1", Address: name, Domain: domain})
	}
	for _, m := range w.view.Members {
		w.addNode(m.Host)
	}
	for shard := range w.allShards() {
		owner, _ := w.view.Owner(shard)
		w.install(w.nodes[owner.Host], shard, nil)
	}
	// Keys are fenced for twice the clock skew after a start without memory.
	time.Sleep(2 * htonce.DefaultMaxClockSkew)
	return w
}

func worldSet() *htresource.Set {
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

func (w *world) allShards() map[htview.Shard]bool {
	all := map[htview.Shard]bool{htview.PoolShard("shop", "east"): true, htview.PoolShard("shop", "west"): true}
	for n := range htview.KeyPartitions {
		all[htview.Shard{Partition: n}] = true
	}
	return all
}

func (w *world) addNode(name string) {
	n := &node{world: w, name: name, serving: map[htview.Shard]bool{}, crashes: NewQuarantine()}
	n.ctx, n.kill = context.WithCancel(context.Background())
	peers := &fakePeers{node: n}
	reporter := NewReporter(peers)
	n.keys = NewKeyOwner(htonce.Config{}, reporter, time.Now)
	n.shards = NewShards(w.ups.of(n), n.keys, reporter, time.Now)
	n.shards.Bind(n)
	router := NewRouter(name, n, n, peers, n.shards, n.crashes, htroute.New(rand.New(rand.NewPCG(1, 2))), time.Now)
	n.keys.Bind(n, router)
	n.entrance = NewCallHandler(name, n, peers, n.keys, router, n.shards, time.Now)
	n.set = w.set
	n.shards.Apply(w.set)
	w.nodes[name] = n
	go func() {
		for n.ctx.Err() == nil {
			n.shards.Tick(time.Now())
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

// declare changes the declared state on all hosts that are alive and reachable.
func (w *world) declare(edit func(*htresource.Set)) {
	w.mu.Lock()
	next := *w.set
	next.Revision++
	next.Domains = append([]htresource.FailureDomain(nil), next.Domains...)
	edit(&next)
	w.set = &next
	var reached []*node
	for _, n := range w.nodes {
		if n.ctx.Err() == nil && !n.cutOff {
			n.set = &next
			reached = append(reached, n)
		}
	}
	w.mu.Unlock()
	for _, n := range reached {
		n.shards.Apply(&next)
	}
}

func (w *world) install(n *node, shard htview.Shard, state []byte) {
	n.shards.Install(shard, state)
	w.mu.Lock()
	defer w.mu.Unlock()
	n.serving[shard] = true
}

// takeOver removes a host from the view after its lease has lapsed; the new owners
// start without memory.
func (w *world) takeOver(lost *node) {
	w.mu.Lock()
	lost.lease = time.Now()
	w.mu.Unlock()
	time.Sleep(testTakeover)
	w.move(lost, func(htview.Shard) []byte { return nil })
}

// handOver is a planned stop of a host: its shards move with their state.
func (w *world) handOver(leaving *node) {
	w.move(leaving, func(s htview.Shard) []byte {
		w.mu.Lock()
		delete(leaving.serving, s)
		w.mu.Unlock()
		return leaving.shards.Collect(s)
	})
}

func (w *world) move(from *node, state func(htview.Shard) []byte) {
	w.mu.Lock()
	next := w.view.Without(from.name)
	var moved []htview.Shard
	for shard := range w.allShards() {
		if owner, _ := w.view.Owner(shard); owner.Host == from.name {
			moved = append(moved, shard)
		}
	}
	w.mu.Unlock()
	for _, shard := range moved {
		owner, _ := next.Owner(shard)
		w.install(w.nodes[owner.Host], shard, state(shard))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = next
}

// View implements Ownership.
func (n *node) View() htview.View {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.world.view
}

// Owner implements Ownership.
func (n *node) Owner(s htview.Shard) (htview.Member, bool) {
	return n.View().Owner(s)
}

// Serving implements Ownership.
func (n *node) Serving(s htview.Shard) bool {
	valid := n.LeaseUntil(time.Now()).After(time.Now())
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.serving[s] && valid
}

// LeaseUntil implements Ownership.
func (n *node) LeaseUntil(now time.Time) time.Time {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.lease.IsZero() {
		return now.Add(testLease)
	}
	return n.lease
}

// told is what a caller learned of one call.
type told struct {
	outcome htcall.Outcome
	reason  htcall.Reason
	body    string
}

// enter sends a call through a host, as a caller would. A caller whose host dies
// learns nothing, which the zero outcome stands for.
func (w *world) enter(host, uri, key string, timeout time.Duration) told {
	n := w.nodes[host]
	call := &Call{
		Meta: htcall.Meta{
			ID: uuid.Must(uuid.NewRandomFromReader(w.random)).String(), Service: "shop", Caller: "tester", Method: http.MethodPost, URI: uri,
			Idempotent: key == "", Key: key, Remaining: timeout,
		},
		Deadline: time.Now().Add(timeout),
		Header:   http.Header{},
		Body:     &Body{},
	}
	if w.at(stepAccept, n, call) != nil || n.ctx.Err() != nil {
		return told{}
	}
	ctx, cancel := context.WithDeadline(n.ctx, call.Deadline)
	defer cancel()
	answer := n.entrance.HandleCall(ctx, call)
	if n.ctx.Err() != nil {
		go answer.Discard()
		return told{}
	}
	result := told{outcome: answer.Outcome, reason: answer.Reason}
	if answer.Body != nil {
		content, err := io.ReadAll(answer.Body)
		if err != nil {
			return told{}
		}
		_ = answer.Body.Close()
		result.body = string(content)
	}
	return result
}

// newKey returns a request key made now.
func (w *world) newKey() string {
	return uuid.Must(uuid.NewV7FromReader(w.random)).String()
}

// close ends all hosts and waits for their goroutines.
func (w *world) close() {
	settle()
	for _, n := range w.nodes {
		n.kill()
	}
	settle()
}

// settle lets everything that is still running end.
func settle() {
	time.Sleep(30 * time.Second)
}

// lockedRandom is a seeded source for concurrent use.
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
