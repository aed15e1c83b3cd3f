//go:build !linux

package upstream

import (
	"net"
	"syscall"
	"time"
)

// readable always reports false: the check is implemented for Linux only.
func readable(net.Conn) bool { return false }

// controlUserTimeout returns nil: TCP_USER_TIMEOUT exists on Linux only.
func controlUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
