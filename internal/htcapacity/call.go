package htcapacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
	"hawthornturn/internal/htlab"
	"hawthornturn/io/htsettings"
)

// callPath is the route of a call from the caller to the upstream.
type callPath string

// The call paths. Each path includes the work of the direct path, so that the difference
// to it is the cost of the programs between caller and upstream.
const (
	pathDirect    callPath = "direct"    // caller to upstream
	pathRelay     callPath = "relay"     // through a plain net/http relay
	pathLocal     callPath = "local"     // received by the dispatcher's host
	pathForwarded callPath = "forwarded" // received by another host, then the dispatcher's host
	pathKeyed     callPath = "keyed"     // received by another host, then the key owner's host, then the dispatcher's host
)

const (
	callSliceDuration = time.Second
	callSliceCount    = 4
	callTimeout       = 2 * time.Second
	// minSleep is the shortest work time for which the upstream sleeps; see upstreamHandler.
	minSleep = time.Millisecond
	// callWorkTime is the work time of the upstream. It is long compared with the pauses
	// of a busy machine, which a dispatcher would otherwise take for a cold upstream.
	callWorkTime = 5 * time.Millisecond
	bodyBytes    = 256 // size of the body of a keyed request and of each response
	callService  = "service-0000"
	callHost     = callService + ".example.test"
)

// callPaths lists the paths in the order of their cost.
var callPaths = []callPath{pathDirect, pathRelay, pathLocal, pathForwarded, pathKeyed}

// callRates are the rates, in calls per second, at which the paths are measured. The
// slope of the CPU time against the rate is the cost of a call; the intercept is the
// cost of the idle hosts.
var callRates = []int{100, 200, 400, 800}

// measureCalls measures the CPU time per second of the process that contains caller,
// hosts and upstream, and the latency of the calls, for each path and rate. The paths
// alternate in short slices, so that the load of the machine affects them equally.
func measureCalls(ctx context.Context, log func(string, ...any)) (series Series, err error) {
	series = Series{X: "calls a second"}
	for _, via := range callPaths {
		for _, unit := range []string{"cpu-us-per-s", "p50-us", "p99-us", "failed"} {
			series.Units = append(series.Units, string(via)+"-"+unit)
		}
	}
	bench, err := newCallBench(ctx, callWorkTime)
	if err != nil {
		return series, err
	}
	defer func() { err = errors.Join(err, bench.close()) }()
	for _, rate := range callRates {
		p, err := bench.measureRate(ctx, rate)
		if err != nil {
			return series, err
		}
		log("%d calls per second: %v", rate, p.Values)
		series.Points = append(series.Points, p)
	}
	return series, nil
}

// callBench sends calls along the call paths.
type callBench struct {
	client         *http.Client
	cluster        *htlab.Cluster
	targets        map[callPath]string
	hasWantedOwner func(key string) bool // reports whether the third host owns the key
	closers        []io.Closer
}

func newCallBench(ctx context.Context, work time.Duration) (*callBench, error) {
	b := &callBench{client: newClient(), targets: map[callPath]string{}}
	upstream, err := b.serve(upstreamHandler(work))
	if err != nil {
		return nil, err
	}
	b.targets[pathDirect] = upstream
	b.targets[pathRelay], err = b.serve(relayHandler(upstream))
	if err == nil {
		err = b.startHosts(ctx, upstream)
	}
	if err != nil {
		err = errors.Join(err, b.close())
	}
	return b, err
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}, Timeout: callTimeout}
}

// serve starts an HTTP server and returns its address.
func (b *callBench) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }() // returns http.ErrServerClosed
	b.closers = append(b.closers, server)
	return l.Addr().String(), nil
}

func (b *callBench) close() error {
	var failed []error
	if b.cluster != nil {
		failed = append(failed, b.cluster.Close())
	}
	for _, c := range b.closers {
		failed = append(failed, c.Close())
	}
	return errors.Join(failed...)
}

// upstreamHandler returns a handler that responds after the work time. Work times below
// minSleep are spent in a busy loop, because a timer would be late by as much as the
// differences to be measured.
func upstreamHandler(work time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		simulateWork(work)
		_, _ = w.Write(make([]byte, bodyBytes))
	})
}

func simulateWork(work time.Duration) {
	if work >= minSleep {
		time.Sleep(work)
		return
	}
	for end := time.Now().Add(work); time.Now().Before(end); {
		runtime.Gosched()
	}
}

// relayHandler forwards requests with net/http and does nothing else. It is the baseline
// for the cost of any program between caller and upstream.
func relayHandler(target string) http.Handler {
	client := newClient()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.RequestURI(), r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		request.Header = r.Header.Clone()
		request.ContentLength = r.ContentLength
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// startHosts starts three entry hosts. The first is the only one in the failure domain
// of the upstream and therefore owns its shard.
func (b *callBench) startHosts(ctx context.Context, upstream string) error {
	cluster, err := htlab.NewCluster()
	if err != nil {
		return err
	}
	b.cluster = cluster
	set := declaredSet(1)
	set.Rules[0].Methods = []string{http.MethodGet}
	set.Pools[0].Upstreams = []htresource.Upstream{{Name: "worker-00000", Address: upstream, Domain: domainName(0), Slots: 64}}
	ctx, cancel := context.WithTimeout(ctx, clusterTimeout)
	defer cancel()
	revision, err := cluster.Apply(ctx, set)
	if err != nil {
		return err
	}
	for i := range 3 {
		if _, err := cluster.StartHost(fmt.Sprintf("entry-%04d", i), domainName(i), nil); err != nil {
			return err
		}
	}
	if err := cluster.WaitReady(ctx, revision); err != nil {
		return err
	}
	// A new key owner that did not receive a predecessor's state rejects calls with keys
	// created before it took over or within twice the maximum clock skew afterwards
	// (reason fenced).
	time.Sleep(2*htsettings.Defaults().MaxClockSkew + 100*time.Millisecond)
	b.targets[pathLocal] = cluster.Hosts()[0].CallersAddr()
	b.targets[pathForwarded] = cluster.Hosts()[1].CallersAddr()
	b.targets[pathKeyed] = cluster.Hosts()[1].CallersAddr()
	view := cluster.Hosts()[1].Dump().Membership.View
	b.hasWantedOwner = func(key string) bool {
		owner, ok := view.Owner(htview.KeyShard(callService, key))
		return ok && owner.Host == cluster.Hosts()[2].Name
	}
	return nil
}

// measureRate measures all paths at one rate, in calls per second. It returns an error if
// the failed calls of a path exceed a twentieth of its successful calls.
func (b *callBench) measureRate(ctx context.Context, rate int) (Point, error) {
	p := Point{Size: float64(rate)}
	totals := map[callPath]*pathTotals{}
	for slice := range callSliceCount + 1 {
		for _, via := range callPaths {
			if slice <= 1 { // the first slice opens connections and is not counted
				totals[via] = newPathTotals()
			}
			b.sendAtRate(ctx, via, rate, totals[via])
		}
	}
	for _, via := range callPaths {
		s := totals[via]
		if failed := s.failed.Load(); failed > s.latencies.TotalCount()/20 {
			return p, fmt.Errorf("%s path at %d calls per second: %d calls failed, last error: %w", via, rate, failed, s.lastErr)
		}
		p.Values = append(p.Values, float64(s.cpu.Microseconds())/s.wall.Seconds(),
			float64(s.latencies.ValueAtQuantile(50)), float64(s.latencies.ValueAtQuantile(99)), float64(s.failed.Load()))
	}
	return p, nil
}

// sendAtRate sends calls along a path for callSliceDuration in an open loop: it does not
// wait for a response before it sends the next call.
func (b *callBench) sendAtRate(ctx context.Context, via callPath, rate int, s *pathTotals) {
	count := int(callSliceDuration.Seconds() * float64(rate))
	keys := make([]string, count)
	if via == pathKeyed {
		for i := range keys {
			keys[i] = b.newKey()
		}
	}
	var wait sync.WaitGroup
	cpu, start := cpuTime(), time.Now()
	for i := range count {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wait.Go(func() { b.timeCall(ctx, via, keys[i], s) })
	}
	wait.Wait()
	s.wall += time.Since(start)
	s.cpu += cpuTime() - cpu
}

// newKey generates keys until one has the wanted owner.
func (b *callBench) newKey() string {
	for {
		key, err := uuid.NewV7()
		if err == nil && b.hasWantedOwner(key.String()) {
			return key.String()
		}
	}
}

func (b *callBench) sendCall(ctx context.Context, target, key string) error {
	method, body := http.MethodGet, []byte(nil)
	if key != "" {
		method, body = http.MethodPost, make([]byte, bodyBytes)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+"/item/1", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = callHost
	if key != "" {
		request.Header.Set(htcall.HeaderIdempotencyKey, key)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || len(content) != bodyBytes {
		return fmt.Errorf("status %d, reason %q", response.StatusCode, response.Header.Get(htcall.HeaderReason))
	}
	return nil
}
