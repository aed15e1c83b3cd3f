//go:build !linux

package upstream

import (
	"net"
	"syscall"
	"time"
)

// readable always says no: only Linux is looked at.
func readable(net.Conn) bool { return false }

// controlUserTimeout does nothing: only Linux has the option.
func controlUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
