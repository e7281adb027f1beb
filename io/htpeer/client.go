package htpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htpath"
	"hawthornturn/core/htview"
)

const (
	dialTimeout = time.Second
	// keepAlivePeriod and idleTimeout detect an unresponsive connection before calls on
	// it reach their deadlines.
	keepAlivePeriod = 250 * time.Millisecond
	idleTimeout     = time.Second
	// probeTimeout bounds the check whether a process still listens at an address.
	probeTimeout = 250 * time.Millisecond
	// maxStreamReceiveBytes and maxConnReceiveBytes bound what is received and not yet read, of
	// a call and of all calls on a connection.
	maxStreamReceiveBytes = 512 << 10
	maxConnReceiveBytes   = 4 << 20
)

// Header fields of forwarded calls.
const (
	fieldCall  = "Ht-Call"
	fieldRole  = "Ht-Role"
	fieldLoad  = "Ht-Load"
	fieldCrash = "Ht-Crash"
	fieldID    = "Ht-Call-Id"
	pathCall   = "/call"
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       dialTimeout,
		KeepAlivePeriod:            keepAlivePeriod,
		MaxIdleTimeout:             idleTimeout,
		MaxIncomingStreams:         1 << 16,
		MaxStreamReceiveWindow:     maxStreamReceiveBytes,
		MaxConnectionReceiveWindow: maxConnReceiveBytes,
	}
}

// Client sends calls and control messages to other entry hosts. It implements
// htpath.Peers.
type Client struct {
	tls       *tls.Config
	transport *http3.Transport

	mu    sync.Mutex
	conns map[string]*peerConn // by address
}

// NewClient returns a Client that presents the certificate of config to its peers.
func NewClient(config *tls.Config) *Client {
	return &Client{
		tls:       http3.ConfigureTLSConfig(config),
		transport: &http3.Transport{},
		conns:     map[string]*peerConn{},
	}
}

// peerConn is the connection to one peer, dialed by its first user. The other fields are set
// once ready is closed.
type peerConn struct {
	ready chan struct{}
	conn  *quic.Conn
	http  *http3.ClientConn
	err   error
}

// Forward implements htpath.Peers.
func (c *Client) Forward(ctx context.Context, to htview.Member, role htpath.Role, call *htpath.Call) (*htpath.Answer, error) {
	body, err := call.Body.Open()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
	}
	meta, err := encodeField(call.Meta)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to.Address+pathCall, body)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
	}
	request.ContentLength = call.Body.Len()
	if request.ContentLength == 0 && len(call.Trailer) == 0 {
		// The HTTP/3 client starts a goroutine with a buffer for any body that is set.
		request.Body = nil
	}
	request.Header = call.Header.Clone()
	request.Header.Set(fieldCall, meta)
	request.Header.Set(fieldRole, string(role))
	if host := request.Header.Get("Host"); host != "" {
		request.Header.Del("Host")
		request.Header.Set(fieldHost, host)
	}
	request.Trailer = call.Trailer
	response, err := c.roundTrip(request, to.Address)
	if err != nil {
		cancel()
		return nil, err
	}
	answer, err := decodeAnswer(response, call.Meta.ID)
	if err != nil {
		cancel()
		_ = response.Body.Close()
		return nil, err
	}
	answer.Body = &htpath.ReleasingBody{Reader: response.Body, Closer: response.Body, Release: cancel}
	return answer, nil
}

// fieldHost carries the Host field of a forwarded call.
const fieldHost = "Ht-Host"

// decodeAnswer returns the answer to the call with the given id, without the header fields
// that only peers use.
func decodeAnswer(response *http.Response, id string) (*htpath.Answer, error) {
	header := response.Header
	if got := header.Get(fieldID); got != id {
		// The id of another call violates an invariant. A missing id does not: the server
		// rejects a call that it cannot decode with an error status and without an id.
		htassert.That(got == "", htassert.WholeAnswer, "answer to call %s came for call %s", got, id)
		return nil, fmt.Errorf("peer answered call %q instead of %q", got, id)
	}
	answer := &htpath.Answer{
		Outcome: htcall.Outcome(header.Get(htcall.HeaderOutcome)),
		Reason:  htcall.Reason(header.Get(htcall.HeaderReason)),
		Status:  response.StatusCode,
		Header:  header,
		Trailer: func() http.Header { return response.Trailer },
		Crash:   header.Get(fieldCrash) != "",
	}
	if !answer.Outcome.Valid() {
		return nil, fmt.Errorf("peer answered status %d without an outcome", response.StatusCode)
	}
	if text := header.Get(fieldLoad); text != "" {
		load, err := decodeField[htcall.Load](text)
		if err != nil {
			return nil, fmt.Errorf("decode peer load: %w", err)
		}
		answer.Load = &load
	}
	for _, name := range []string{htcall.HeaderOutcome, htcall.HeaderReason, fieldCrash, fieldID, fieldLoad} {
		header.Del(name)
	}
	return answer, nil
}

// roundTrip sends a request over the connection to address. Errors from before the request
// was passed to the connection wrap htpath.ErrNotSent.
func (c *Client) roundTrip(request *http.Request, address string) (*http.Response, error) {
	peer := c.connTo(address)
	select {
	case <-peer.ready:
	case <-request.Context().Done():
		return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, request.Context().Err())
	}
	if peer.err != nil {
		return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, peer.err)
	}
	response, err := peer.http.RoundTrip(request)
	if err != nil && request.Context().Err() == nil {
		c.removeFailed(address, peer)
	}
	return response, err
}

// connTo returns the connection to address and starts to dial one if none is usable.
func (c *Client) connTo(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer := c.conns[address]; peer != nil && peer.usable() {
		return peer
	}
	peer := &peerConn{ready: make(chan struct{})}
	c.conns[address] = peer
	go c.dial(address, peer)
	return peer
}

// usable reports whether the connection is being dialed or is open.
func (p *peerConn) usable() bool {
	select {
	case <-p.ready:
		return p.err == nil && p.conn.Context().Err() == nil
	default:
		return true
	}
}

func (c *Client) dial(address string, peer *peerConn) {
	defer close(peer.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	peer.conn, peer.err = quic.DialAddr(ctx, address, c.tls, quicConfig())
	if peer.err != nil {
		if refusedErr := probePort(address); refusedErr != nil {
			peer.err = refusedErr
		}
		return
	}
	peer.http = c.transport.NewClientConn(peer.conn)
}

// probePort returns an htview.ErrConnectionRefused if no process listens at address. UDP does
// not report a closed port, so every entry host also listens on the TCP port of the same
// number.
func probePort(address string) error {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = conn.Close()
		return nil
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %s", htview.ErrConnectionRefused, address)
	}
	return nil
}

// removeFailed removes a connection that is no longer usable, so that the next request dials
// again.
func (c *Client) removeFailed(address string, peer *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == peer && !peer.usable() {
		delete(c.conns, address)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, peer := range c.conns {
		delete(c.conns, address)
		go func() {
			<-peer.ready
			if peer.err == nil {
				_ = peer.conn.CloseWithError(0, "stopping")
			}
		}()
	}
}
