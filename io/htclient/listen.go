package htclient

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"hawthornturn/core/htconn"
)

// Listen listens on a TCP address. Connections hold little of what their clients send until they
// are accepted: they get the receive buffer of the listener, and a larger one once they have room
// in a Table.
func Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A system that doesn't support it has buffers of its own choice.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, htconn.CrowdedBuffer)
		})
	}}
	return config.Listen(context.Background(), network, address)
}
