package htstand

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

var errNoSocket = errors.New("connection has no socket")

// dropPackets makes the kernel drop every packet that arrives for the socket. It
// attaches a BPF filter whose only instruction accepts 0 bytes.
func dropPackets(raw syscall.RawConn) error {
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := &unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err = errors.Join(controlErr, err); err != nil {
		return fmt.Errorf("drop packets: %w", err)
	}
	return nil
}
