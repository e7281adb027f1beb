package htstand

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Upstream is a test server that simulates one upstream. It is an http.Handler; Start
// serves it on an address.
type Upstream struct {
	settings UpstreamSettings
	worker   *worker
	mux      *http.ServeMux
	journal  *journal // nil if no journal is configured or it is not open yet

	mu           sync.Mutex
	address      string
	server       *http.Server
	crashed      chan struct{} // closed when the current server crashes or is closed
	closed       bool
	restartTimer *time.Timer

	// connsMu is separate from mu to avoid a deadlock: closing the server, which
	// happens with mu held, waits for the accept loop, which registers connections.
	connsMu sync.Mutex
	conns   map[*faultConn]struct{}
}

// NewUpstream returns an upstream without faults.
func NewUpstream(s UpstreamSettings) *Upstream {
	s = s.withDefaults()
	u := &Upstream{
		settings: s,
		worker:   newWorker(s, time.Now()),
		mux:      http.NewServeMux(),
		conns:    map[*faultConn]struct{}{},
		crashed:  make(chan struct{}),
	}
	u.mux.HandleFunc("/", u.serveWork)
	u.mux.HandleFunc("/-/", http.NotFound)
	u.mux.HandleFunc("GET /-/health", u.serveHealth)
	u.mux.HandleFunc("GET /-/load", u.serveLoad)
	u.mux.HandleFunc("GET /-/record", u.serveRecord)
	u.mux.HandleFunc("GET /-/faults", u.serveGetFaults)
	u.mux.HandleFunc("PUT /-/faults", u.servePutFaults)
	u.mux.HandleFunc("POST /-/actions/{action}", u.serveAction)
	return u
}

// Start opens the journal, if one is configured, listens on address and serves until
// Close.
func (u *Upstream) Start(address string) error {
	if err := u.openJournal(); err != nil {
		return fmt.Errorf("upstream %s: %w", u.settings.Name, err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("upstream %s: %w", u.settings.Name, err)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.address = l.Addr().String()
	u.serve(l)
	return nil
}

// openJournal opens the journal unless an earlier call has opened it, so that Start can
// be retried.
func (u *Upstream) openJournal() error {
	if u.settings.Journal == "" || u.journal != nil {
		return nil
	}
	j, err := openJournal(u.settings.Journal)
	if err != nil {
		return err
	}
	u.journal = j
	u.worker.setJournal(j)
	return nil
}

// serve starts an HTTP server on l. The caller holds mu.
func (u *Upstream) serve(l net.Listener) {
	server := &http.Server{Handler: u}
	u.server = server
	go func() {
		// Serve returns when the server is closed; no other error is expected.
		_ = server.Serve(faultListener{Listener: l, upstream: u})
	}()
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mux.ServeHTTP(w, r)
}

// Name returns the name given in the settings.
func (u *Upstream) Name() string {
	return u.settings.Name
}

// Address returns the address that Start listens on.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Close stops serving and closes all connections.
func (u *Upstream) Close() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.restartTimer != nil {
		u.restartTimer.Stop()
	}
	err := u.stop()
	if u.journal != nil {
		err = errors.Join(err, u.journal.close())
	}
	return err
}

// stop closes the server and aborts all work. The caller holds mu.
func (u *Upstream) stop() error {
	if u.server == nil {
		return nil
	}
	close(u.crashed)
	u.crashed = make(chan struct{})
	err := u.server.Close()
	u.server = nil
	return err
}

// Crash closes all connections, aborts all work and refuses new connections for d. The
// upstream is cold after the restart.
func (u *Upstream) Crash(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || u.server == nil {
		return
	}
	u.worker.countCrash()
	// The error of closing the listener is ignored: the port is free in any case.
	_ = u.stop()
	u.restartTimer = time.AfterFunc(d, u.restart)
}

// restart listens on the same address again and makes the upstream cold. It retries
// after 50 ms if another socket still holds the port.
func (u *Upstream) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return
	}
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		const retryListen = 50 * time.Millisecond
		u.restartTimer = time.AfterFunc(retryListen, u.restart)
		return
	}
	u.worker.setCold(time.Now(), u.settings.ColdDuration)
	u.serve(l)
}

// SetCold makes the upstream cold for d.
func (u *Upstream) SetCold(d time.Duration) {
	u.worker.setCold(time.Now(), d)
}

// SilenceConnections permanently drops all packets that arrive on the open connections,
// so that nothing on them is acknowledged or answered. New connections work.
func (u *Upstream) SilenceConnections() error {
	u.connsMu.Lock()
	defer u.connsMu.Unlock()
	var err error
	for c := range u.conns {
		err = errors.Join(err, c.silence())
	}
	return err
}

// FreezeConnections permanently stops reads and writes of the open connections, while
// the kernel still acknowledges what arrives on them. New connections work.
func (u *Upstream) FreezeConnections() {
	u.connsMu.Lock()
	defer u.connsMu.Unlock()
	for c := range u.conns {
		c.freeze()
	}
}

// SetFaults applies edit to the current faults. It changes nothing if the result does
// not pass UpstreamFaults.Check.
func (u *Upstream) SetFaults(edit func(*UpstreamFaults)) error {
	return u.worker.setFaults(time.Now(), func(f *UpstreamFaults) error {
		edit(f)
		return nil
	})
}

// Record returns a copy of the record of the requests received so far.
func (u *Upstream) Record() Record {
	u.worker.mu.Lock()
	defer u.worker.mu.Unlock()
	return u.worker.record.clone()
}

// crashSignal returns a channel that is closed when the current server crashes or is
// closed.
func (u *Upstream) crashSignal() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashed
}

func (u *Upstream) wrapConn(c net.Conn) net.Conn {
	f := &faultConn{Conn: c, firstReadDelay: u.settings.ConnCost, closed: make(chan struct{})}
	f.onClosed = func() { u.removeConn(f) }
	u.connsMu.Lock()
	u.conns[f] = struct{}{}
	u.connsMu.Unlock()
	u.worker.countConn(1)
	return f
}

// removeConn unregisters a connection that is being closed.
func (u *Upstream) removeConn(f *faultConn) {
	u.worker.countConn(-1)
	u.connsMu.Lock()
	defer u.connsMu.Unlock()
	delete(u.conns, f)
}
