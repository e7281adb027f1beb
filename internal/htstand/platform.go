package htstand

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hawthornturn/core/httable"
)

// PlatformCounts counts the requests that the platform received since it started.
type PlatformCounts struct {
	Reads       int64 `json:"reads"`  // reads of the table and object store that were not refused
	Writes      int64 `json:"writes"` // transactions and object writes that were not refused
	RowsWritten int64 `json:"rows-written"`
	Conflicts   int64 `json:"conflicts"`
	Refused     int64 `json:"refused"` // storage requests answered with status 429 or 503
	HostReads   int64 `json:"host-reads"`
}

// Platform is a test server for the table service, the object store and the host
// list. It is an http.Handler; Start serves it on an address.
type Platform struct {
	table   *table
	objects *objectStore
	hosts   *hostList
	mux     *http.ServeMux

	mu     sync.Mutex
	faults PlatformFaults
	counts PlatformCounts
	reads  *rate.Limiter
	writes *rate.Limiter

	server   *http.Server
	listener net.Listener
	closed   chan struct{}
}

// NewPlatform returns an empty platform without faults, with the default rate
// limits.
func NewPlatform() *Platform {
	p := &Platform{table: newTable(), objects: newObjectStore(), hosts: &hostList{}, closed: make(chan struct{})}
	p.SetFaults(func(f *PlatformFaults) {
		f.WritesPerSec = DefaultWritesPerSec
		f.ReadsPerSec = DefaultReadsPerSec
	})
	p.mux = http.NewServeMux()
	p.mux.HandleFunc("GET /table/rows", p.withStorageFaults(kindRead, p.serveRows))
	p.mux.HandleFunc("POST /table/transactions", p.withStorageFaults(kindWrite, p.serveTransaction))
	p.mux.HandleFunc("GET /objects/{name...}", p.withStorageFaults(kindRead, p.serveGetObject))
	p.mux.HandleFunc("PUT /objects/{name...}", p.withStorageFaults(kindWrite, p.servePutObject))
	p.mux.HandleFunc("GET /hosts", p.serveHosts)
	p.mux.HandleFunc("PUT /hosts/{name}", p.servePutHost)
	p.mux.HandleFunc("DELETE /hosts/{name}", p.serveDeleteHost)
	p.mux.HandleFunc("GET /control/faults", p.serveGetFaults)
	p.mux.HandleFunc("PUT /control/faults", p.servePutFaults)
	p.mux.HandleFunc("GET /control/counts", p.serveCounts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Start listens on address and serves until Close.
func (p *Platform) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	p.listener = l
	p.server = &http.Server{Handler: p}
	go func() {
		// Serve returns when Close is called; no other error is expected.
		_ = p.server.Serve(l)
	}()
	return nil
}

// Address returns the address that Start listens on.
func (p *Platform) Address() string {
	return p.listener.Addr().String()
}

// Close stops serving and closes all connections.
func (p *Platform) Close() error {
	close(p.closed)
	if p.server == nil {
		return nil
	}
	return p.server.Close()
}

// Faults returns a copy of the current faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.clone()
}

// SetFaults applies edit to the current faults. A changed rate limit starts with a
// full burst.
func (p *Platform) SetFaults(edit func(*PlatformFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.faults
	edit(&p.faults)
	if p.writes == nil || before.WritesPerSec != p.faults.WritesPerSec {
		p.writes = newLimiter(p.faults.WritesPerSec)
	}
	if p.reads == nil || before.ReadsPerSec != p.faults.ReadsPerSec {
		p.reads = newLimiter(p.faults.ReadsPerSec)
	}
}

// newLimiter returns a limiter with a burst of a tenth of a second of requests, but at
// least 1, so that requests that arrive together by chance are not refused.
func newLimiter(perSec float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSec), max(1, int(perSec/10)))
}

// Counts returns the counts of the requests received so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// PutHost adds a host to the host list or replaces the host of the same name.
func (p *Platform) PutHost(h Host) {
	p.hosts.update(time.Now(), func(hosts map[string]Host) { hosts[h.Name] = h })
}

// DeleteHost removes a host from the host list.
func (p *Platform) DeleteHost(name string) {
	p.hosts.update(time.Now(), func(hosts map[string]Host) { delete(hosts, name) })
}

// Rows returns the rows whose key starts with prefix. Faults and rate limits do not
// apply to it.
func (p *Platform) Rows(prefix string) []httable.Row {
	return p.table.scan(prefix).Rows
}

var (
	errStorageDown = errors.New("storage unavailable")
	errRateLimited = errors.New("rate limit exceeded")
)
