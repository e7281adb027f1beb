package htclient

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"hawthornturn/core/htconn"
)

const (
	// lingerPoll is the time between checks whether the peer has received an answer.
	lingerPoll = 50 * time.Millisecond
	// lingerBuffer is the size in bytes of the reads that drop what the peer still sends.
	lingerBuffer = 512
)

// Close implements net.Conn. If the peer has not yet received all that was written, the connection
// is closed later: bytes that arrive at a closed socket, such as requests sent ahead, make the
// kernel reset the connection and drop the rest of the answer.
func (c *Conn) Close() error {
	if c.closing.Swap(true) {
		return nil
	}
	if c.stalled.Load() || c.unreceived() == 0 || c.CloseWrite() != nil {
		c.closeNow(c.stalled.Load())
		return nil
	}
	c.lingering.Store(true)
	c.table.lingering.Add(1)
	// A reader that waits for the next request is not to wait any more.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	go c.linger()
	return nil
}

// closeNow closes the connection whether or not the peer has received all. If the rest is to be
// dropped, the kernel does not hold it for minutes.
func (c *Conn) closeNow(drop bool) {
	c.closing.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && drop && c.unreceived() > 0 {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// linger closes the connection once the peer has received all, has closed it, or has received
// nothing for htconn.Slack.
func (c *Conn) linger() {
	defer c.table.lingering.Add(-1)
	defer c.table.Close(c.entry)
	defer c.closeNow(true)
	buffer := make([]byte, lingerBuffer)
	left, progress := c.unreceived(), time.Now()
	for {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerPoll))
		if _, err := c.Conn.Read(buffer); err == nil {
			continue
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		now := c.unreceived()
		if now < left {
			c.table.Sent(c.entry, left-now)
			left, progress = now, time.Now()
		}
		if now == 0 || time.Since(progress) > htconn.Slack {
			return
		}
	}
}

// unreceived returns the bytes that were written and that the peer has not acknowledged, or 0 if the
// system does not tell.
func (c *Conn) unreceived() int {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}
	return n
}

// AwaitClosed waits until no closed connection waits for its peer to receive an answer, or until
// ctx ends.
func (t *Table) AwaitClosed(ctx context.Context) {
	tick := time.NewTicker(lingerPoll)
	defer tick.Stop()
	for t.lingering.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
