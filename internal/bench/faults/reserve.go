package faults

import (
	"net"

	"golang.org/x/sys/unix"
)

// reservedPort keeps a port from other processes while nothing listens on it: connections to it are refused.
type reservedPort struct{ fd int }

// reservePort reserves the port of a TCP address on the loopback interface that was just closed.
func reservePort(address string) (*reservedPort, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	r := &reservedPort{fd: fd}
	// Connections of the closed listener may still be open on the port.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		r.release()
		return nil, err
	}
	at := &unix.SockaddrInet4{Port: tcp.Port}
	copy(at.Addr[:], tcp.IP.To4())
	if err := unix.Bind(fd, at); err != nil {
		r.release()
		return nil, err
	}
	// Without the option the kernel lets nobody else bind the port, not even with the option.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0); err != nil {
		r.release()
		return nil, err
	}
	return r, nil
}

// release gives the port free.
func (r *reservedPort) release() { _ = unix.Close(r.fd) }
