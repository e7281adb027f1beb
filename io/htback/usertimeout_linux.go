package htback

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose data
// stays unacknowledged for ackTimeout because the other end no longer responds.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
