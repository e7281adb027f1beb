package htview_test

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htonce"
	"hawthornturn/core/httable"
	"hawthornturn/core/htview"
)

func TestMain(m *testing.M) {
	htassert.PanicOnViolation.Store(true)
	logrus.SetLevel(logrus.PanicLevel)
	// One thread: with the race detector, go1.26.8 crashes now and then in
	// runtime.(*timer).unlockAndRun when two goroutines of a bubble receive from due
	// tickers at once. The race detector does not depend on parallel threads.
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// tb is the part of testing.T that rapid.T has as well.
type tb interface {
	Helper()
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

type direction struct{ from, to string }

// cluster is a set of entry hosts with a table, a network and a host list.
type cluster struct {
	t     tb
	table *fakeTable
	pools []htview.Shard

	mu       sync.Mutex
	hosts    []*host          // running or paused, in order of start
	byAddr   map[string]*host // the last process at each address
	cut      map[direction]bool
	silent   map[string]bool // hosts that vanished from the network
	unlisted map[string]bool
	started  int
	problem  string
}

func newCluster(t tb) *cluster {
	return &cluster{
		t: t, table: &fakeTable{rows: map[string]httable.Row{}},
		pools:  []htview.Shard{htview.PoolShard("p", "d0"), htview.PoolShard("p", "d1")},
		byAddr: map[string]*host{}, cut: map[direction]bool{}, silent: map[string]bool{}, unlisted: map[string]bool{},
	}
}

// start starts a process of the host with the name.
func (c *cluster) start(name string) *host {
	c.mu.Lock()
	c.started++
	n := c.started
	c.mu.Unlock()
	h := &host{
		cluster: c, gate: newGate(), memos: map[htview.Shard]string{}, fresh: map[htview.Shard]int{},
		owner: htonce.New(htonce.Config{}),
		skew:  time.Duration(n%3-1) * 250 * time.Millisecond, // wall clocks agree within 500 ms
		self: htview.Member{
			Host: name, Incarnation: fmt.Sprintf("i%d", n), Address: "addr-" + name, Domain: fmt.Sprintf("d%d", n%2),
		},
	}
	h.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	c.byAddr[h.self.Address] = h
	return h
}

// startAll starts n hosts and waits until they serve all shards.
func (c *cluster) startAll(n int) []*host {
	var hosts []*host
	for i := range n {
		hosts = append(hosts, c.start(fmt.Sprintf("h%d", i)))
	}
	c.run(6 * time.Second)
	c.expectServed()
	return hosts
}

func (c *cluster) at(address string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byAddr[address]
}

// travel carries a message over the network.
func (c *cluster) travel(ctx context.Context, from, to *host) error {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	lost := to == nil || c.cut[direction{from.self.Host, to.self.Host}] || c.silent[from.self.Host] || c.silent[to.self.Host]
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (c *cluster) cutOneWay(from, to *host) { c.setCut(from, to, true) }

func (c *cluster) cutBothWays(a, b *host) {
	c.setCut(a, b, true)
	c.setCut(b, a, true)
}

func (c *cluster) setCut(from, to *host, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[direction{from.self.Host, to.self.Host}] = cut
}

func (c *cluster) setListed(name string, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlisted[name] = !listed
}

// vanish makes a host unreachable without refusing connections.
func (c *cluster) vanish(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[h.self.Host] = true
}

func (c *cluster) listed() []htview.ListedHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []htview.ListedHost
	for _, h := range c.hosts {
		if !c.unlisted[h.self.Host] {
			list = append(list, htview.ListedHost{Name: h.self.Host, State: htview.HostLive})
		}
	}
	return list
}

// heal ends all faults but kills.
func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cut)
	clear(c.silent)
	clear(c.unlisted)
	for _, h := range c.hosts {
		h.setTable(tableUp)
		h.gate.resume()
	}
}

func (c *cluster) setTables(f tableFault) {
	for _, h := range c.live() {
		h.setTable(f)
	}
}

func (c *cluster) live() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*host
	for _, h := range c.hosts {
		if !h.gate.killed() {
			live = append(live, h)
		}
	}
	return live
}

func (c *cluster) shards() []htview.Shard {
	all := append([]htview.Shard{}, c.pools...)
	for n := range htview.KeyPartitions {
		all = append(all, htview.Shard{Partition: n})
	}
	return all
}

// checkFree notes a violation if a host other than h serves the shard now.
func (c *cluster) checkFree(s htview.Shard, h *host) {
	for _, other := range c.live() {
		if other != h && other.m.Serving(s) {
			c.mu.Lock()
			c.problem = fmt.Sprintf("%s is served by %s and started by %s", s, other.self.Incarnation, h.self.Incarnation)
			c.mu.Unlock()
		}
	}
}

const sampleEvery = 20 * time.Millisecond

// run lets time pass and checks at each sample that no shard has two hosts.
func (c *cluster) run(d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(sampleEvery)
		c.check()
	}
}

func (c *cluster) check() {
	c.t.Helper()
	live := c.live()
	for _, s := range c.shards() {
		if serving := servers(live, s); len(serving) > 1 {
			c.t.Fatalf("%s is served by %s and %s\n%s", s, serving[0].self.Incarnation, serving[1].self.Incarnation, c.describe())
		}
	}
	c.mu.Lock()
	problem := c.problem
	c.mu.Unlock()
	if problem != "" {
		c.t.Fatalf("%s\n%s", problem, c.describe())
	}
}

// servers returns the hosts that serve the shard.
func servers(hosts []*host, s htview.Shard) []*host {
	var serving []*host
	for _, h := range hosts {
		if h.m.Serving(s) {
			serving = append(serving, h)
		}
		now := time.Now()
		if h.m.LeaseUntil(now).IsZero() && h.m.Serving(s) && h.m.LeaseUntil(now).IsZero() {
			h.cluster.t.Fatalf("%s: %s serves without a lease", s, h.self.Incarnation)
		}
	}
	return serving
}

// served counts the shards that some host serves.
func (c *cluster) served() int {
	n := 0
	for _, h := range c.live() {
		n += c.servedBy(h)
	}
	return n
}

func (c *cluster) servedBy(h *host) int {
	n := 0
	for _, s := range c.shards() {
		if h.m.Serving(s) {
			n++
		}
	}
	return n
}

func (c *cluster) expectServed() {
	c.t.Helper()
	if n, want := c.served(), len(c.shards()); n != want {
		c.t.Fatalf("%d of %d shards are served\n%s", n, want, c.describe())
	}
}

func (c *cluster) describe() string {
	text := ""
	for _, h := range c.live() {
		text += fmt.Sprintf("%s: %+v\n", h.self.Incarnation, h.m.State())
	}
	return text
}

func (c *cluster) stop() {
	for _, h := range c.live() {
		h.kill()
	}
	time.Sleep(30 * time.Second) // lets delayed requests end inside the bubble
}
