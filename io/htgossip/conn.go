package htgossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/sirupsen/logrus"
)

// Conn sends and receives datagrams over UDP.
type Conn struct {
	socket *net.UDPConn
}

// Listen opens the UDP socket of a host.
func Listen(address netip.AddrPort) (*Conn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return &Conn{socket: socket}, nil
}

// Send sends a datagram to each address. A failed send is logged and treated as a lost
// datagram.
func (c *Conn) Send(data []byte, to ...netip.AddrPort) {
	for _, a := range to {
		if _, err := c.socket.WriteToUDPAddrPort(data, a); err != nil && !errors.Is(err, net.ErrClosed) {
			logrus.WithFields(logrus.Fields{"event": "datagram-not-sent", "to": a}).WithError(err).Debug("datagram not sent")
		}
	}
}

// Serve passes each datagram to handle until ctx ends. It ignores datagrams that cannot be
// decoded.
func (c *Conn) Serve(ctx context.Context, handle func(from netip.AddrPort, d *Datagram)) error {
	stop := context.AfterFunc(ctx, func() { _ = c.socket.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("receive datagram: %w", err)
		}
		d, err := Decode(buffer[:n])
		if err != nil {
			logrus.WithFields(logrus.Fields{"event": "datagram-ignored", "from": from, "bytes": n}).WithError(err).Warn("datagram ignored")
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), d)
	}
}
