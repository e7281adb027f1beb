package htpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/htpath"
)

// maxPortAttempts bounds the search for a port number that is free for both UDP and TCP.
const maxPortAttempts = 20

// CallHandler runs forwarded calls.
type CallHandler interface {
	// HandleForwarded runs a call that another host has forwarded.
	HandleForwarded(ctx context.Context, role htpath.Role, call *htpath.Call) *htpath.Answer
}

// Server is the listener for other entry hosts.
type Server struct {
	h3       *http3.Server
	mux      *http.ServeMux
	udp      net.PacketConn
	tcp      net.Listener
	quic     *quic.Transport
	listener *quic.EarlyListener
	maxConns int64 // 0: not bounded
	conns    atomic.Int64

	inFlight atomic.Int64
}

// errTooManyConns means that a connection was refused because too many are open.
var errTooManyConns = errors.New("too many connections")

// Listen opens the UDP port for peers and the TCP port of the same number, which shows
// other hosts that the process runs. At most maxConns connections are open at a time, those
// included that have not shown a certificate yet; 0: not bounded.
func Listen(address string, config *tls.Config, maxConns int) (*Server, error) {
	udp, tcp, err := listenUDPAndTCP(address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	s := &Server{mux: mux, udp: udp, tcp: tcp, maxConns: int64(maxConns)}
	s.h3 = &http3.Server{Handler: mux}
	s.quic = &quic.Transport{Conn: udp, ConnContext: s.admit}
	if s.listener, err = s.quic.ListenEarly(http3.ConfigureTLSConfig(config), quicConfig()); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// admit counts a connection, or refuses it if too many are open.
func (s *Server) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if open := s.conns.Add(1); s.maxConns > 0 && open > s.maxConns {
		s.conns.Add(-1)
		return nil, errTooManyConns
	}
	context.AfterFunc(ctx, func() { s.conns.Add(-1) })
	return ctx, nil
}

// listenUDPAndTCP opens a UDP and a TCP port of the same number. If address leaves the
// number to the system, it retries, since another program may hold the TCP port of the UDP
// port that the system picks.
func listenUDPAndTCP(address string) (net.PacketConn, net.Listener, error) {
	attempts := 1
	if _, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		attempts = maxPortAttempts
	}
	var lastErr error
	for range attempts {
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, nil, err
		}
		tcp, err := net.Listen("tcp", udp.LocalAddr().String())
		if err == nil {
			return udp, tcp, nil
		}
		lastErr = err
		_ = udp.Close()
	}
	return nil, nil, lastErr
}

// Addr returns the address of the listener.
func (s *Server) Addr() string {
	return s.udp.LocalAddr().String()
}

// handle registers a handler of control messages for a path.
func (s *Server) handle(path string, handler http.Handler) {
	s.mux.Handle("POST "+path, handler)
}

// HandleCalls registers the handler of forwarded calls. Memory is for what they hold of their
// bodies and answers.
func (s *Server) HandleCalls(calls CallHandler, memory *htmemory.Budget) {
	s.mux.Handle("POST "+pathCall, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		lease := memory.NewLease()
		defer lease.Release()
		serveCall(w, r, calls, lease)
	}))
}

// Serve runs until ctx ends. It implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	go s.acceptProbes()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.h3.ServeListener(s.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// String returns the name of the server for log lines. Without it, the supervisor would print the
// fields of the server, while the listener changes them.
func (*Server) String() string { return "peers" }

// acceptProbes accepts and closes the TCP connections by which other hosts check whether
// this process runs.
func (s *Server) acceptProbes() {
	for {
		conn, err := s.tcp.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// InFlight returns the number of forwarded calls that are running.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Close closes the listeners and their connections.
func (s *Server) Close() error {
	_ = s.tcp.Close()
	err := s.h3.Close()
	_ = s.quic.Close()
	_ = s.udp.Close()
	return err
}

func serveCall(w http.ResponseWriter, r *http.Request, calls CallHandler, memory *htmemory.Lease) {
	meta, err := decodeField[htcall.Meta](r.Header.Get(fieldCall))
	if err != nil {
		http.Error(w, "decode call header: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !memory.Reserve(htpath.CallBytes) {
		writeAnswer(w, meta.ID, htpath.Refusal(htcall.ReasonNoMemory))
		return
	}
	role := htpath.Role(r.Header.Get(fieldRole))
	header := r.Header
	if host := header.Get(fieldHost); host != "" {
		header.Set("Host", host)
	}
	for _, name := range []string{fieldCall, fieldRole, fieldHost} {
		header.Del(name)
	}
	call := &htpath.Call{
		Meta:     meta,
		Deadline: time.Now().Add(meta.Remaining),
		Header:   header,
		Trailer:  r.Trailer,
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	call.Body, err = forwardedBody(r, call.Trailer, memory)
	if errors.Is(err, htmemory.ErrNoMemory) {
		writeAnswer(w, meta.ID, htpath.Refusal(htcall.ReasonNoMemory))
		return
	}
	if err != nil {
		// The forwarding host canceled the stream before the whole body arrived.
		panic(http.ErrAbortHandler)
	}
	answer := calls.HandleForwarded(ctx, role, call)
	if meta.Method == http.MethodHead {
		// The answer to a HEAD may state the length of a body that it does not contain. Calls are
		// forwarded as POST, and the body of the response to a POST must have that length.
		answer.Header.Del("Content-Length")
	}
	writeAnswer(w, meta.ID, answer)
}

// forwardedBody returns the body of a forwarded call. A short body is buffered in memory, a
// long one is streamed.
func forwardedBody(r *http.Request, trailer http.Header, memory *htmemory.Lease) (*htpath.Body, error) {
	body := &trailerBody{request: r, trailer: trailer}
	if r.ContentLength >= 0 && r.ContentLength <= htpath.ReplayLimit {
		return htpath.NewBody(body, r.ContentLength, memory)
	}
	return htpath.StreamBody(body), nil
}

// trailerBody copies the trailer into the call at the end of the body: the HTTP/3 server
// then sets a new map in the request, but the call holds the first one.
type trailerBody struct {
	request *http.Request
	trailer http.Header
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.request.Body.Read(p)
	if errors.Is(err, io.EOF) && b.trailer != nil {
		maps.Copy(b.trailer, b.request.Trailer)
	}
	return n, err
}

// writeAnswer sends the answer to the call with the given id to the forwarding host.
func writeAnswer(w http.ResponseWriter, id string, answer *htpath.Answer) {
	header := w.Header()
	header.Set(fieldID, id)
	if answer.Crash {
		header.Set(fieldCrash, "1")
	}
	if answer.Load != nil {
		if text, err := encodeField(*answer.Load); err == nil {
			header.Set(fieldLoad, text)
		}
	}
	htpath.WriteAnswer(w, answer, nil)
}
