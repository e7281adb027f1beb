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
	// A single thread avoids an occasional crash of go1.26.8 with the race detector,
	// in runtime.(*timer).unlockAndRun, when two goroutines of a synctest bubble
	// receive from due tickers at the same time. The race detector also finds races
	// without parallel threads.
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// tb is the set of methods that testing.T and rapid.T have in common and that the
// tests use.
type tb interface {
	Helper()
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

type direction struct{ from, to string }

// cluster simulates entry hosts with a table service, a network and a host list.
type cluster struct {
	t     tb
	table *fakeTable
	pools []htview.Shard

	mu           sync.Mutex
	hosts        []*host          // all processes, in order of start
	byAddr       map[string]*host // the latest process at each address
	cut          map[direction]bool
	disconnected map[string]bool // hosts that are unreachable and refuse no connections
	unlisted     map[string]bool
	started      int
	violation    string
}

func newCluster(t tb) *cluster {
	return &cluster{
		t: t, table: &fakeTable{rows: map[string]httable.Row{}},
		pools:  []htview.Shard{htview.PoolShard("p", "d0"), htview.PoolShard("p", "d1")},
		byAddr: map[string]*host{}, cut: map[direction]bool{}, disconnected: map[string]bool{}, unlisted: map[string]bool{},
	}
}

// start starts a new process of the host with the given name.
func (c *cluster) start(name string) *host {
	c.mu.Lock()
	c.started++
	n := c.started
	c.mu.Unlock()
	h := &host{
		cluster: c, gate: newGate(), states: map[htview.Shard]string{}, emptyInstalls: map[htview.Shard]int{},
		owner: htonce.New(htonce.Config{}),
		skew:  time.Duration(n%3-1) * 250 * time.Millisecond, // wall clocks differ by at most 500 ms
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
	c.requireAllServed()
	return hosts
}

func (c *cluster) hostAt(address string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byAddr[address]
}

// deliver simulates the network delay of a message. If the message is lost, it blocks
// until ctx ends.
func (c *cluster) deliver(ctx context.Context, from, to *host) error {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	lost := to == nil || c.cut[direction{from.self.Host, to.self.Host}] || c.disconnected[from.self.Host] || c.disconnected[to.self.Host]
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

// disconnect makes a host unreachable without refusing connections.
func (c *cluster) disconnect(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[h.self.Host] = true
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

// clearFaults ends all faults except kills.
func (c *cluster) clearFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cut)
	clear(c.disconnected)
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

// checkNotServedElsewhere records a violation if a host other than h serves the shard
// now.
func (c *cluster) checkNotServedElsewhere(s htview.Shard, h *host) {
	for _, other := range c.live() {
		if other != h && other.m.Serving(s) {
			c.mu.Lock()
			c.violation = fmt.Sprintf("%s is served by %s and installed by %s", s, other.self.Incarnation, h.self.Incarnation)
			c.mu.Unlock()
		}
	}
}

const sampleEvery = 20 * time.Millisecond

// run advances virtual time by d and checks at each sample that no shard is served by
// two hosts.
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
		if serving := hostsServing(live, s); len(serving) > 1 {
			c.t.Fatalf("%s is served by %s and %s\n%s", s, serving[0].self.Incarnation, serving[1].self.Incarnation, c.dumpStates())
		}
	}
	c.mu.Lock()
	violation := c.violation
	c.mu.Unlock()
	if violation != "" {
		c.t.Fatalf("%s\n%s", violation, c.dumpStates())
	}
}

// hostsServing returns the hosts that serve the shard.
func hostsServing(hosts []*host, s htview.Shard) []*host {
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

// servedCount returns the number of shards served, added up over all live hosts.
func (c *cluster) servedCount() int {
	n := 0
	for _, h := range c.live() {
		n += c.servedCountOf(h)
	}
	return n
}

func (c *cluster) servedCountOf(h *host) int {
	n := 0
	for _, s := range c.shards() {
		if h.m.Serving(s) {
			n++
		}
	}
	return n
}

func (c *cluster) requireAllServed() {
	c.t.Helper()
	if n, want := c.servedCount(), len(c.shards()); n != want {
		c.t.Fatalf("%d of %d shards are served\n%s", n, want, c.dumpStates())
	}
}

func (c *cluster) dumpStates() string {
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
	time.Sleep(30 * time.Second) // lets delayed requests end inside the synctest bubble
}
