package htclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htconn"
	"hawthornturn/io/htpipeline"
	"hawthornturn/io/htservice"
)

const (
	// minConnections is the least number of connections for which a listener has room.
	minConnections = 16
	// connBytes is the memory of a connection outside of requests: two goroutines, the buffers
	// of net/http, what is read ahead, and those of the kernel.
	connBytes = 24<<10 + htpipeline.MaxBufferBytes + 2*htconn.CrowdedBuffer
)

// Resources are what a process may hold.
type Resources struct {
	Memory      int64 // bytes; 0: connections are not bounded by memory
	Descriptors int   // sockets; 0: connections are not bounded
}

// Share is the part of Resources that the connections of a listener may take, from 0 to 1.
type Share struct{ Memory, Descriptors float64 }

// Table bounds the connections to a listener.
type Table struct {
	*htconn.Table
	name      string
	bounded   bool
	headBytes func() int
	lingering atomic.Int64 // connections that are closed once their peers have received all
}

// New returns a Table without connections. A request's header may have headBytes bytes.
func New(name string, resources Resources, share Share, headBytes func() int, now func() time.Time) *Table {
	return &Table{
		Table: htconn.New(htconn.Limits{
			Connections: max(int(share.Descriptors*float64(resources.Descriptors)), minConnections),
			Bytes:       int64(share.Memory * float64(resources.Memory)),
			BaseBytes:   connBytes,
		}, now),
		name: name, bounded: resources.Descriptors > 0, headBytes: headBytes,
	}
}

// Name returns the name of the listener for logs and metrics.
func (t *Table) Name() string { return t.name }

// Limit returns a listener whose connections are bounded, and makes the server report their
// state. Without a bound of descriptors it returns the listener itself.
func (t *Table) Limit(listener net.Listener, server *http.Server) net.Listener {
	if !t.bounded {
		return listener
	}
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, connOf(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c := connOf(conn)
		if c == nil {
			return
		}
		switch state {
		case http.StateIdle:
			c.idle(linesAhead(conn), conn)
		case http.StateActive:
			c.active(conn)
		case http.StateClosed, http.StateHijacked:
			if !c.lingering.Load() {
				t.Close(c.entry)
			}
		}
	}
	return &clientListener{Listener: listener, Table: t}
}

// LimitTLS is Limit for a listener whose connections are encrypted.
func (t *Table) LimitTLS(listener net.Listener, server *http.Server, config *tls.Config) net.Listener {
	config = config.Clone()
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		if c, ok := hello.Conn.(*Conn); ok {
			c.handshake()
		}
		return nil, nil
	}
	limited := t.Limit(listener, server)
	if l, ok := limited.(*clientListener); ok {
		l.encrypted = true
	}
	return tls.NewListener(limited, config)
}

// Serve serves a listener whose connections are bounded until ctx ends.
func (t *Table) Serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	return htservice.HTTP(ctx, server, t.Limit(listener, server))
}

// ReclaimBodies ends requests that are behind and hold n bytes of bodies, and reports whether
// there are as many.
func (t *Table) ReclaimBodies(n int64) bool { return t.bounded && t.Reclaim(n) }

func (t *Table) log(why string, conn net.Conn) {
	logrus.WithFields(logrus.Fields{"event": "connection-closed", "listener": t.name, "why": why, "peer": conn.RemoteAddr().String()}).Info("connection closed")
}

// connOf returns the bounded connection that conn is, or that it reads ahead on or encrypts, or
// nil.
func connOf(conn net.Conn) *Conn {
	switch outer := conn.(type) {
	case *htpipeline.Conn:
		conn = outer.Conn
	case *tls.Conn:
		conn = outer.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// linesAhead returns the ends of lines that were read ahead on a connection, between two requests.
func linesAhead(conn net.Conn) int {
	if ahead, ok := conn.(*htpipeline.Conn); ok {
		return ahead.LinesAhead()
	}
	return 0
}

// clientListener accepts connections as long as their table has room for them.
type clientListener struct {
	net.Listener
	*Table
	encrypted bool
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, table: l.Table, encrypted: l.encrypted}
		if l.encrypted {
			c.own = tlsBytes
		}
		if c.entry = l.Open(c); c.entry == nil || c.own > 0 && !l.Charge(c.entry, c.own) {
			if c.entry != nil {
				l.Table.Close(c.entry)
			}
			_ = conn.Close()
			l.log("no room for the connection", conn)
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A system that doesn't support it has buffers of its own choice.
			buffer := l.Buffer(c.entry)
			_, _ = tcp.SetReadBuffer(buffer), tcp.SetWriteBuffer(buffer)
		}
		return c, nil
	}
}

// Close implements net.Listener.
func (l *clientListener) Close() error { return l.Listener.Close() }
