package htback

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"hawthornturn/core/htpath"
)

// idleTimeoutShare is the share of the timeout in an upstream's Keep-Alive header field
// after which idle connections to it are closed, so that no request is sent on a
// connection that the upstream is closing.
const idleTimeoutShare = 0.8

// maxKeepAliveSeconds is the largest timeout in a Keep-Alive header field that is taken
// into account. A larger one does not shorten any idle timeout, and may overflow a duration.
const maxKeepAliveSeconds = 24 * 60 * 60

// ConnSettings bound the connections to upstreams.
type ConnSettings struct {
	IdleTimeout time.Duration // idle connections are closed after this time, or sooner if the upstream's Keep-Alive field requires it
	Spare       int           // connections beyond the slots of the upstream
	MaxOpen     int           // open connections to all upstreams from which idle ones are closed before another is opened; 0: not bounded
}

// Conns is a set of connection pools, one for each upstream. It is safe for concurrent use.
type Conns struct {
	settings ConnSettings
	open     atomic.Int64 // connections to all upstreams, and those that are being opened
	mu       sync.Mutex
	pools    map[string]*connPool // by upstream address
}

// NewConns returns Conns without connections.
func NewConns(settings ConnSettings) *Conns {
	return &Conns{settings: settings, pools: map[string]*connPool{}}
}

// RoundTrip sends a request to an upstream and returns the response once its header has
// arrived. A fresh request gets a new connection that is not reused. An error wraps
// htpath.ErrNotSent if no byte was sent, htpath.ErrSilent if the connection timed out and
// ErrNoAnswer if the response is no answer.
func (c *Conns) RoundTrip(request *http.Request, address string, slots int, fresh bool, trace *RequestTrace) (*http.Response, error) {
	p := c.pool(address, slots)
	transport := p.reused
	if fresh {
		transport = p.fresh
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace.clientTrace()))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, p.classify(trace, err)
	}
	if conn := trace.conn.Load(); conn != nil && conn.head.awaited.Load() {
		_ = conn.Close()
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: it was received before the request was sent", ErrNoAnswer)
	}
	if isUnframed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, trace: trace}
	}
	if idle, found := idleTimeoutFromHeader(response.Header); found && idle < p.idleTimeout {
		c.shortenIdleTimeout(address, p, idle)
	}
	return response, nil
}

func (c *Conns) pool(address string, slots int) *connPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = newConnPool(c, slots+c.settings.Spare, c.settings.IdleTimeout, &atomic.Int64{})
		c.pools[address] = p
	}
	return p
}

// shortenIdleTimeout replaces the pool of an upstream by one with a shorter idle timeout
// and closes the idle connections of the old one. Those in use are left to the upstream
// to close.
func (c *Conns) shortenIdleTimeout(address string, p *connPool, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[address] != p { // an earlier response has shortened it, or the upstream was removed
		return
	}
	c.pools[address] = newConnPool(c, p.maxConns, idle, p.openCount)
	p.reused.CloseIdleConnections()
}

// idleTimeoutFromHeader returns idleTimeoutShare of the timeout in the Keep-Alive field of
// a response, such as "timeout=5, max=100", and false if it has none above zero.
func idleTimeoutFromHeader(header http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 && seconds <= maxKeepAliveSeconds {
			return time.Duration(idleTimeoutShare * seconds * float64(time.Second)), true
		}
	}
	return 0, false
}

// Retain closes the idle connections to upstreams whose address is not in keep and removes
// their pools.
func (c *Conns) Retain(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !keep[address] {
			p.reused.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

// makeRoom counts one more connection, which is about to be opened, and closes the idle ones to all
// upstreams if they are too many.
func (c *Conns) makeRoom() {
	if open := c.open.Add(1); c.settings.MaxOpen == 0 || open <= int64(c.settings.MaxOpen) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.reused.CloseIdleConnections()
	}
}

// OpenCounts returns the number of open connections by upstream address.
func (c *Conns) OpenCounts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make(map[string]int64, len(c.pools))
	for address, p := range c.pools {
		open[address] = p.openCount.Load()
	}
	return open
}

// connPool holds the connections to one upstream. Requests that are not idempotent use
// fresh connections: a reused connection may have stopped responding, and net/http may
// send a request twice if a reused connection fails.
type connPool struct {
	reused      *http.Transport
	fresh       *http.Transport
	maxConns    int
	idleTimeout time.Duration
	openCount   *atomic.Int64 // shared with the pool that this one replaces
	conns       *Conns
}

func newConnPool(conns *Conns, maxConns int, idle time.Duration, openCount *atomic.Int64) *connPool {
	p := &connPool{conns: conns, maxConns: maxConns, idleTimeout: idle, openCount: openCount}
	p.reused = p.transport(maxConns, idle)
	p.fresh = p.transport(maxConns, idle)
	p.fresh.DisableKeepAlives = true
	return p
}

func (p *connPool) transport(maxConns int, idle time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2,
		},
		Control: setUserTimeout,
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			p.conns.makeRoom()
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				p.conns.open.Add(-1)
				return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
			}
			p.openCount.Add(1)
			return &countedConn{Conn: conn, openCount: p.openCount, allOpen: &p.conns.open}, nil
		},
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		Protocols:              http1Only(),
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

func http1Only() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &protocols
}

// countedConn is a connection that checks the heads of responses, and decrements openCount and
// allOpen when it is closed.
type countedConn struct {
	net.Conn
	head      answerHead
	openCount *atomic.Int64
	allOpen   *atomic.Int64 // to all upstreams
	closed    atomic.Bool
	reset     atomic.Bool // the upstream has reset the connection while a request was written
}

// Read implements net.Conn. It returns nothing of a response once its head is found malformed.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.head.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) {
		c.reset.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.openCount.Add(-1)
		c.allOpen.Add(-1)
	}
	return c.Conn.Close()
}

// classify wraps the error of a round trip in htpath.ErrNotSent or htpath.ErrSilent if one applies.
func (p *connPool) classify(trace *RequestTrace, err error) error {
	if !trace.headerWritten.Load() {
		return fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
	}
	if errors.Is(err, unix.ETIMEDOUT) {
		// Other idle connections to the upstream may have stopped responding as well.
		p.reused.CloseIdleConnections()
		return fmt.Errorf("%w: %w", htpath.ErrSilent, err)
	}
	return err
}

// RequestTrace records when one request was written and when its response arrived.
type RequestTrace struct {
	headerWritten  atomic.Bool  // a header field may have been written
	start          time.Time    // before a connection was requested
	requestWritten atomic.Int64 // time at which the whole request was written, in Unix nanoseconds
	firstByte      atomic.Int64 // time of the first byte of the response, in Unix nanoseconds
	conn           atomic.Pointer[countedConn]
	writeEnded     chan struct{} // closed when the request was written, wholly or in part
	endWrite       sync.Once
}

// NewRequestTrace returns a RequestTrace that starts now.
func NewRequestTrace() *RequestTrace {
	return &RequestTrace{start: time.Now(), writeEnded: make(chan struct{})}
}

func (t *RequestTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countedConn); ok {
				conn.head.await()
				t.conn.Store(conn)
			}
		},
		WroteHeaderField: func(string, []string) { t.headerWritten.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			t.requestWritten.Store(time.Now().UnixNano())
			t.endWrite.Do(func() { close(t.writeEnded) })
		},
		GotFirstResponseByte: func() { t.firstByte.Store(time.Now().UnixNano()) },
	}
}

// TimeToFirstByte returns the time from the end of the request to the first byte of the
// response. If the response arrives before the whole request is written, it is measured
// from the start of the request.
func (t *RequestTrace) TimeToFirstByte() time.Duration {
	wrote := t.requestWritten.Load()
	if wrote == 0 {
		wrote = t.start.UnixNano()
	}
	return time.Duration(max(0, t.firstByte.Load()-wrote))
}
