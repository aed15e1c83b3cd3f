package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readable reports whether a read from the connection would return at once, with data,
// end of file or an error. It neither blocks nor consumes data. It returns false for a
// connection without a file descriptor.
func readable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err != nil || (peekErr != unix.EAGAIN && peekErr != unix.EINTR)
}

// controlUserTimeout returns a net.Dialer.Control function that sets
// TCP_USER_TIMEOUT to d: the kernel ends a connection on which sent bytes stay
// unacknowledged for that long.
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
