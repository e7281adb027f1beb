package htstand

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// faultListener wraps each accepted connection in a faultConn of the upstream.
type faultListener struct {
	net.Listener
	upstream *Upstream
}

// Accept implements net.Listener.
func (l faultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.upstream.wrapConn(c), nil
}

// faultConn is a connection that can be frozen. A frozen connection stays open,
// discards written data and delivers no further data to Read.
type faultConn struct {
	net.Conn
	frozen         atomic.Bool
	firstReadDelay time.Duration
	firstReadOnce  sync.Once
	closed         chan struct{}
	closeOnce      sync.Once
	onClosed       func()
}

// Read implements net.Conn.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.firstReadOnce.Do(func() { time.Sleep(c.firstReadDelay) })
	if c.frozen.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.frozen.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.onClosed()
	})
	return c.Conn.Close()
}

// freeze stops reads and writes of the connection. The kernel still acknowledges
// what the peer sends, as for a process that hangs.
func (c *faultConn) freeze() {
	c.frozen.Store(true)
}

// silence freezes the connection and drops all its incoming packets, so that they
// are not acknowledged, as on a network path that drops every packet of the
// connection.
func (c *faultConn) silence() error {
	c.freeze()
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return dropPackets(raw)
}
