package htcrowd

import (
	"net"

	"golang.org/x/sys/unix"
)

// hasEnded reports whether the peer has closed or reset a connection for writing, or this side
// has closed it.
func hasEnded(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_FIN_WAIT1 && info.State != unix.BPF_TCP_FIN_WAIT2
	})
	return err != nil || ended
}
