// Package htport reserves ports on loopback addresses for processes that tests start.
package htport

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
)

const (
	// holder is the loopback address on which reserved ports are held. Nothing else uses it, so
	// the ports stay free on the other loopback addresses.
	holder = "127.255.255.254"
	// firstPort is the lowest port that is reserved.
	firstPort = 10000
	// defaultEphemeralPort is the kernel's default for the first ephemeral port.
	defaultEphemeralPort = 32768
	// maxTries bounds the blocks of ports that are tried.
	maxTries = 1000
)

// errNoPorts means that no block of consecutive ports was free.
var errNoPorts = errors.New("no block of consecutive ports is free")

// Reserve returns the first of n consecutive ports that are free for TCP and UDP on all loopback
// addresses. The ports are below the kernel's ephemeral ports, so that no outgoing connection
// takes one of them, and no other call of Reserve in any process returns one of them before
// release is called.
func Reserve(n int) (first int, release func(), err error) {
	end := ephemeralPort()
	blocks := (end - firstPort) / n
	if n <= 0 || blocks <= 0 {
		return 0, nil, fmt.Errorf("reserve %d ports below %d: %w", n, end, errNoPorts)
	}
	start := rand.IntN(blocks)
	for i := range min(blocks, maxTries) {
		first := firstPort + (start+i)%blocks*n
		if held, ok := hold(first, n); ok {
			return first, func() { closeAll(held) }, nil
		}
	}
	return 0, nil, fmt.Errorf("reserve %d ports below %d: %w", n, end, errNoPorts)
}

// hold listens on a block of ports, and reports whether all of them were free.
func hold(first, n int) ([]io.Closer, bool) {
	var held []io.Closer
	for port := first; port < first+n; port++ {
		sockets, ok := holdPort(port)
		held = append(held, sockets...)
		if !ok {
			closeAll(held)
			return nil, false
		}
	}
	return held, true
}

// holdPort listens on a port of the holder, and reports whether it was free there and on
// 127.0.0.1.
func holdPort(port int) ([]io.Closer, bool) {
	var held []io.Closer
	for _, host := range []string{holder, "127.0.0.1"} {
		address := net.JoinHostPort(host, strconv.Itoa(port))
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return held, false
		}
		packets, err := net.ListenPacket("udp4", address)
		if err != nil {
			return append(held, listener), false
		}
		if host != holder {
			closeAll([]io.Closer{listener, packets})
			continue
		}
		held = append(held, listener, packets)
	}
	return held, true
}

func closeAll(sockets []io.Closer) {
	for _, s := range sockets {
		_ = s.Close()
	}
}

// ephemeralPort returns the first port that the kernel gives to outgoing connections.
func ephemeralPort() int {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultEphemeralPort
	}
	var first, last int
	if _, err := fmt.Sscan(string(data), &first, &last); err != nil || first <= firstPort {
		return defaultEphemeralPort
	}
	return first
}
