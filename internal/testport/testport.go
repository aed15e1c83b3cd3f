// Package testport reserves ports for the servers of tests, benchmarks and trials, in this process and in
// child processes. A port stays reserved while nothing listens on it, for example between the end of a
// server and its restart.
package testport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

const (
	// localRangeFile names the kernel's first and last ephemeral port: those that it gives to outgoing
	// connections and to sockets that are bound to port 0.
	localRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"
	// firstPort is the lowest port to reserve. Below it are the ports of common services.
	firstPort = 10_000
	lastPort  = 65_535
	host      = "127.0.0.1"
)

// errNoPort means that no port can be reserved.
var errNoPort = errors.New("no port can be reserved")

// Port is a reserved port. No other Port of any process has the same number until Release, and the kernel
// gives it to no socket that doesn't ask for it.
type Port struct {
	address string
	lock    *net.UnixConn
}

// Reserve reserves a port on which nothing listens, for TCP and UDP. The caller has to call Release.
func Reserve() (*Port, error) {
	p, err := sharedPool()
	if err != nil {
		return nil, err
	}
	return p.reserve()
}

// Address returns host:port to listen on.
func (p *Port) Address() string { return p.address }

// Release ends the reservation. The kernel does the same when the process ends.
func (p *Port) Release() { _ = p.lock.Close() }

// TB is the part of testing.TB that Address needs.
type TB interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
}

// Address reserves a port until the end of a test and returns host:port to listen on.
func Address(t TB) string {
	t.Helper()
	p, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Release)
	return p.Address()
}

// sharedPool returns the pool of this process.
var sharedPool = sync.OnceValues(func() (*pool, error) {
	first, last, err := ephemeralRange()
	if err != nil {
		return nil, err
	}
	return newPool(portsOutside(first, last)), nil
})

// ephemeralRange returns the kernel's first and last ephemeral port.
func ephemeralRange() (first, last int, err error) {
	data, err := os.ReadFile(localRangeFile)
	if err != nil {
		return 0, 0, err
	}
	if _, err := fmt.Sscan(string(data), &first, &last); err != nil {
		return 0, 0, fmt.Errorf("%s: %w", localRangeFile, err)
	}
	return first, last, nil
}

// portsOutside returns the ports that may be reserved if the kernel's ephemeral ports are those from first
// to last.
func portsOutside(first, last int) []int {
	var ports []int
	for port := firstPort; port <= lastPort; port++ {
		if port < first || port > last {
			ports = append(ports, port)
		}
	}
	return ports
}

// pool reserves some of its ports, one after the other. It begins anywhere and returns to a port only after
// all others, so that a late datagram or connection rarely reaches the next server on the port.
type pool struct {
	mu    sync.Mutex
	ports []int
	next  int // index in ports
}

func newPool(ports []int) *pool {
	p := &pool{ports: ports}
	if len(ports) > 0 {
		p.next = rand.IntN(len(ports))
	}
	return p
}

// reserve reserves the next port that is neither reserved nor in use.
func (p *pool) reserve() (*Port, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.ports {
		port := p.ports[p.next]
		p.next = (p.next + 1) % len(p.ports)
		if r := tryReserve(port); r != nil {
			return r, nil
		}
	}
	return nil, errNoPort
}

// tryReserve reserves a port. It returns nil if the port is reserved already or in use.
func tryReserve(port int) *Port {
	// An abstract socket exists once in a network namespace, as ports do, and ends with its process.
	// Child processes don't inherit it.
	lock, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Net: "unixgram", Name: "@ragworttrestle-testport-" + strconv.Itoa(port)})
	if err != nil {
		return nil
	}
	r := &Port{address: net.JoinHostPort(host, strconv.Itoa(port)), lock: lock}
	if !isFree(r.address) {
		r.Release()
		return nil
	}
	return r
}

// isFree reports whether TCP and UDP servers can listen on an address.
func isFree(address string) bool {
	// No process is forked meanwhile: it would keep the sockets open until it executes its program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
