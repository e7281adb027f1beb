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

// statedShare of the time in the Keep-Alive header field of an upstream is how long a
// connection to it may be idle: a request must not meet the upstream's close.
const statedShare = 0.8

// ConnSettings bound the connections to each upstream.
type ConnSettings struct {
	IdleTimeout time.Duration // idle connections are closed after this time, or sooner if the upstream says so
	Spare       int           // connections beyond the slots of the upstream
}

// Conns holds the connections to upstreams. It is safe for concurrent use.
type Conns struct {
	settings ConnSettings
	mu       sync.Mutex
	ports    map[string]*port // by upstream address
}

// NewConns returns Conns without connections.
func NewConns(settings ConnSettings) *Conns {
	return &Conns{settings: settings, ports: map[string]*port{}}
}

// RoundTrip sends a request to an upstream and returns the head of the answer. Fresh
// requests get a connection of their own. An error wraps htpath.ErrNotSent if no byte
// was sent and htpath.ErrSilent if the connection timed out.
func (c *Conns) RoundTrip(request *http.Request, address string, slots int, fresh bool, send *RequestTrace) (*http.Response, error) {
	p := c.port(address, slots)
	transport := p.pooled
	if fresh {
		transport = p.fresh
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), send.trace()))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, p.classify(send, err)
	}
	if stated, told := statedIdle(response.Header); told && stated < p.idle {
		c.shorten(address, p, stated)
	}
	return response, nil
}

func (c *Conns) port(address string, slots int) *port {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.ports[address]
	if p == nil {
		p = newPort(slots+c.settings.Spare, c.settings.IdleTimeout, &atomic.Int64{})
		c.ports[address] = p
	}
	return p
}

// shorten makes new connections to an upstream end sooner when they are idle. Those in use
// end as the upstream closes them.
func (c *Conns) shorten(address string, p *port, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ports[address] != p { // another answer said so first, or the upstream is gone
		return
	}
	c.ports[address] = newPort(p.most, idle, p.open)
	p.pooled.CloseIdleConnections()
}

// statedIdle returns how long a connection may be idle by the Keep-Alive header field of an
// answer, such as "timeout=5, max=100".
func statedIdle(header http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
			return time.Duration(statedShare * seconds * float64(time.Second)), true
		}
	}
	return 0, false
}

// Retain closes the connections to upstreams whose address is not kept.
func (c *Conns) Retain(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.ports {
		if !keep[address] {
			p.pooled.CloseIdleConnections()
			delete(c.ports, address)
		}
	}
}

// OpenCounts returns the number of open connections by upstream address.
func (c *Conns) OpenCounts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make(map[string]int64, len(c.ports))
	for address, p := range c.ports {
		open[address] = p.open.Load()
	}
	return open
}

// port holds the connections to one upstream. Requests that are not idempotent go
// over fresh connections: a reused one may have gone silent, and net/http may send
// a request twice over it.
type port struct {
	pooled *http.Transport
	fresh  *http.Transport
	most   int
	idle   time.Duration
	open   *atomic.Int64 // shared with the port that this one replaces
}

func newPort(most int, idle time.Duration, open *atomic.Int64) *port {
	p := &port{most: most, idle: idle, open: open}
	p.pooled = p.transport(most, idle)
	p.fresh = p.transport(most, idle)
	p.fresh.DisableKeepAlives = true
	return p
}

func (p *port) transport(most int, idle time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2,
		},
		Control: setUserTimeout,
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
			}
			p.open.Add(1)
			return &countedConn{Conn: conn, open: p.open}, nil
		},
		MaxConnsPerHost:        most,
		MaxIdleConnsPerHost:    most,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxAnswerHeader,
		DisableCompression:     true,
		Protocols:              httpOne(),
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

func httpOne() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &protocols
}

// countedConn counts open connections.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// classify wraps the error of a round trip by what is known of the request.
func (p *port) classify(send *RequestTrace, err error) error {
	if !send.started.Load() {
		return fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
	}
	if errors.Is(err, unix.ETIMEDOUT) {
		// Other idle connections to the upstream may have gone silent with this one.
		p.pooled.CloseIdleConnections()
		return fmt.Errorf("%w: %w", htpath.ErrSilent, err)
	}
	return err
}

// RequestTrace follows one request to the wire.
type RequestTrace struct {
	started atomic.Bool  // a header field may have been written
	begun   time.Time    // before the connection was asked for
	wrote   atomic.Int64 // time at which the request was written, in Unix nanoseconds
	first   atomic.Int64 // time of the first byte of the answer
}

// NewRequestTrace returns a Sending that begins now.
func NewRequestTrace() *RequestTrace { return &RequestTrace{begun: time.Now()} }

func (s *RequestTrace) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		WroteHeaderField:     func(string, []string) { s.started.Store(true) },
		WroteRequest:         func(httptrace.WroteRequestInfo) { s.wrote.Store(time.Now().UnixNano()) },
		GotFirstResponseByte: func() { s.first.Store(time.Now().UnixNano()) },
	}
}

// TimeToFirstByte returns the time from the end of the request to the answer. An upstream that
// answers before it has read the whole request is measured from the start.
func (s *RequestTrace) TimeToFirstByte() time.Duration {
	wrote := s.wrote.Load()
	if wrote == 0 {
		wrote = s.begun.UnixNano()
	}
	return time.Duration(max(0, s.first.Load()-wrote))
}
