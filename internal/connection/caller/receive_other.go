//go:build !linux

package caller

// Flags of receive.
const (
	peek    = 1
	consume = 0
)

// receive always returns errNothingReceived: reading the receive buffer is implemented for Linux only.
func receive(tcpConn, []byte, int) (int, error) { return 0, errNothingReceived }

// pending always returns false: the check is implemented for Linux only.
func pending(tcpListener) bool { return false }
