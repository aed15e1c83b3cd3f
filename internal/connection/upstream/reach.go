package upstream

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Reach makes a connection to an address and closes it. nil: something there takes
// connections, which is all that it tells.
func Reach(ctx context.Context, address string, timeout time.Duration) error {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "reach %s", address)
	}
	return errors.Wrapf(conn.Close(), "reach %s", address)
}
