package htcrowd

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	quiet       = 500 * time.Millisecond // a crowd without progress for this time has settled
	longest     = 5 * time.Second        // a slow crowd is observed for this time
	readPeriod  = 100 * time.Millisecond // between two reads of a slow reader
	returnPause = 20 * time.Millisecond  // before a client opens a new connection
)

// Crowd is a number of connections of clients that misbehave.
type Crowd struct {
	sent  atomic.Int64
	ended atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Start opens connections to an address, each of which sends text as a way says and stays open
// until the test ends.
func Start(t testing.TB, connections int, address, text string, way *Way) *Crowd {
	t.Helper()
	c := &Crowd{conns: map[net.Conn]struct{}{}}
	data := []byte(text)
	var clients sync.WaitGroup
	for range connections {
		clients.Go(func() {
			c.play(address, data, way)
			for way.Returns && !c.ended.Load() {
				time.Sleep(returnPause)
				c.play(address, data, way)
			}
		})
	}
	t.Cleanup(func() {
		c.End()
		clients.Wait()
	})
	return c
}

// End closes all connections.
func (c *Crowd) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended.Store(true)
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// play plays one connection until it can't go on.
func (c *Crowd) play(address string, data []byte, way *Way) {
	socket, err := net.DialTimeout("tcp4", address, longest)
	if err != nil {
		return
	}
	conn, tcp := socket, socket.(*net.TCPConn)
	if way.TLS != nil {
		conn = tls.Client(socket, way.TLS)
	}
	c.mu.Lock()
	c.conns[conn] = struct{}{}
	ended := c.ended.Load()
	c.mu.Unlock()
	if ended {
		_ = conn.Close()
		return
	}
	var reader sync.WaitGroup
	if way.ReadRate > 0 {
		reader.Go(func() { readSlowly(conn, tcp, way.ReadRate) })
	}
	if c.send(conn, data, way) && way.HalfEnd {
		_ = tcp.CloseWrite()
	}
	reader.Wait()
	if !way.Returns {
		return // the connection stays open
	}
	if way.ReadRate == 0 {
		awaitEnd(tcp)
	}
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// send sends data and reports whether all of it was sent.
func (c *Crowd) send(conn net.Conn, data []byte, way *Way) bool {
	piece := way.Piece
	if piece == 0 {
		piece = len(data)
	}
	for rest := data; len(rest) > 0; time.Sleep(way.Pause) {
		n, err := conn.Write(rest[:min(piece, len(rest))])
		c.sent.Add(int64(n))
		if err != nil {
			return false
		}
		rest = rest[n:]
	}
	return true
}

// readSlowly reads until the connection ends.
func readSlowly(conn net.Conn, tcp *net.TCPConn, rate int) {
	part := make([]byte, rate*int(readPeriod)/int(time.Second))
	_ = tcp.SetReadBuffer(len(part)) // the kernel reads ahead otherwise
	for {
		if _, err := io.ReadFull(conn, part); err != nil {
			return
		}
		time.Sleep(readPeriod)
	}
}

// awaitEnd waits until the peer has reset or closed the connection, without reading from it.
func awaitEnd(conn *net.TCPConn) {
	for !hasEnded(conn) {
		time.Sleep(readPeriod)
	}
}

// Settle waits until the crowd sends nothing more, because it has sent all or because the host
// doesn't read, or for longest.
func (c *Crowd) Settle() {
	end := time.Now().Add(longest)
	for last := int64(-1); last != c.sent.Load() && time.Now().Before(end); time.Sleep(quiet) {
		last = c.sent.Load()
	}
}
