package caller

import (
	"io"

	"golang.org/x/sys/unix"
)

// Flags of receive.
const (
	peek    = unix.MSG_PEEK // leave the bytes in the receive buffer
	consume = 0
)

// receive reads what lies in the receive buffer of a connection. It ignores the read deadline and
// doesn't block: if the buffer is empty, it returns errNothingReceived. At the end of the stream it
// returns io.EOF.
func receive(c tcpConn, p []byte, flags int) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	err = raw.Control(func(fd uintptr) {
		n, _, readErr = unix.Recvfrom(int(fd), p, flags|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == unix.EAGAIN || readErr == unix.EINTR:
		return 0, errNothingReceived
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// pending reports whether a connection waits to be accepted by a listener.
func pending(l tcpListener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds, 0)
		waits = pollErr == unix.EINTR || n == 1 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waits
}
