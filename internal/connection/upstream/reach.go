package upstream

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Connect opens a connection to an address (host:port). It uses the options for connections. A read returns io.EOF only if
// the other side has ended the connection in order and no write has failed.
func Connect(ctx context.Context, address string, opts HTTPOptions) (net.Conn, error) {
	opts = opts.withDefaults()
	conn, err := newDialer(opts.DialTimeout, opts.UserTimeout, opts.KeepAlive).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "reach %s", address)
	}
	return &sealConn{Conn: conn}, nil
}

// CheckReachable connects to an address (host:port) and closes the connection. A nil error
// means only that something accepts connections there.
func CheckReachable(ctx context.Context, address string, timeout time.Duration) error {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "reach %s", address)
	}
	return errors.Wrapf(conn.Close(), "reach %s", address)
}
