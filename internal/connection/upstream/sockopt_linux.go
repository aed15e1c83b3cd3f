package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// controlUserTimeout sets TCP_USER_TIMEOUT before connecting: the kernel ends a
// connection whose sent bytes stay unacknowledged for d.
func controlUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
