package htcapacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"hawthornturn/core/htresource"
	"hawthornturn/internal/htlab"
	"hawthornturn/io/htsettings"
)

const (
	// settleDuration is the wait before counting, in which joins, hand-over and first
	// connections complete.
	settleDuration  = 4 * time.Second
	membersDuration = 6 * time.Second
	clusterTimeout  = 2 * time.Minute
)

// measureMembers measures idle entry hosts in one process: the CPU time and memory of
// each host, and the rate of its requests to the table service and the host list. A relay
// between the hosts and the platform counts bytes. The declared state is small and has
// no pool shards.
func measureMembers(ctx context.Context, log func(string, ...any)) (Series, error) {
	s := Series{X: "members", Units: []string{"cpu-us-per-s", "heap-bytes", "table-reads-per-s", "table-writes-per-s", "host-list-reads-per-s", "platform-bytes-per-s", "refused"}}
	for _, n := range []int{4, 8, 16, 32} {
		p, err := membersAtSize(ctx, n)
		if err != nil {
			return s, fmt.Errorf("%d members: %w", n, err)
		}
		log("%d members: %v", n, p.Values)
		s.Points = append(s.Points, p)
	}
	return s, nil
}

func membersAtSize(ctx context.Context, n int) (point Point, err error) {
	baseline := heapBytes()
	c, err := htlab.NewCluster()
	if err != nil {
		return Point{}, err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	relay, err := newTCPRelay(c.Platform.Address())
	if err != nil {
		return Point{}, err
	}
	defer relay.close()
	ctx, cancel := context.WithTimeout(ctx, clusterTimeout)
	defer cancel()
	revision, err := c.Apply(ctx, setWithoutUpstreams())
	if err != nil {
		return Point{}, err
	}
	throughRelay := func(settings *htsettings.Settings) {
		settings.Platform = htsettings.Platform{Table: "http://" + relay.address(), HostList: "http://" + relay.address()}
	}
	for i := range n {
		if _, err := c.StartHost(fmt.Sprintf("entry-%04d", i), domainName(i%3), throughRelay); err != nil {
			return Point{}, err
		}
	}
	if err := c.WaitReady(ctx, revision); err != nil {
		return Point{}, err
	}
	time.Sleep(settleDuration)
	heap := heapBytes() - baseline + stackBytes()
	counts, bytes, cpu, start := c.Platform.Counts(), relay.bytes.Load(), cpuTime(), time.Now()
	time.Sleep(membersDuration)
	seconds := time.Since(start).Seconds() * float64(n) // host-seconds
	used, after := cpuTime()-cpu, c.Platform.Counts()
	perHost := func(before, after int64) float64 { return float64(after-before) / seconds }
	return Point{float64(n), []float64{
		float64(used.Microseconds()) / seconds,
		heap / float64(n),
		perHost(counts.Reads, after.Reads),
		perHost(counts.Writes, after.Writes),
		perHost(counts.HostReads, after.HostReads),
		perHost(bytes, relay.bytes.Load()),
		float64(after.Refused - counts.Refused),
	}}, nil
}

func stackBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}

func setWithoutUpstreams() *htresource.Set {
	set := declaredSet(1)
	set.Pools[0].Upstreams = nil
	return set
}

// tcpRelay forwards TCP connections and counts the bytes of both directions.
type tcpRelay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newTCPRelay(target string) (*tcpRelay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &tcpRelay{listener: l, target: target}
	go r.serve()
	return r, nil
}

func (r *tcpRelay) address() string { return r.listener.Addr().String() }

func (r *tcpRelay) close() { _ = r.listener.Close() }

func (r *tcpRelay) serve() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		go r.forward(from, to)
		go r.forward(to, from)
	}
}

func (r *tcpRelay) forward(from, to net.Conn) {
	_, _ = io.Copy(io.MultiWriter(to, countingWriter{&r.bytes}), from)
	_ = from.Close()
	_ = to.Close()
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ n *atomic.Int64 }

func (c countingWriter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}
