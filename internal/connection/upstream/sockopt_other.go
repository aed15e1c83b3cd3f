//go:build !linux

package upstream

import (
	"syscall"
	"time"
)

// controlUserTimeout does nothing: only Linux has the option.
func controlUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
