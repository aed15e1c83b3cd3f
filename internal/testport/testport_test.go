package testport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// holderEnv makes a process of this test reserve ports, see TestMain. Its value is the first and the last
// port to take.
const holderEnv = "RAGWORT_TESTPORT_HOLDER"

// TestMain runs the tests, or holds ports for a test in another process.
func TestMain(m *testing.M) {
	ports := os.Getenv(holderEnv)
	if ports == "" {
		os.Exit(m.Run())
	}
	if err := holdPorts(ports); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// holdPorts reserves all ports that it can get, each at most once, prints their addresses and an empty
// line, and holds them until standard input ends.
func holdPorts(ports string) error {
	var first, last int
	if _, err := fmt.Sscan(ports, &first, &last); err != nil {
		return err
	}
	p := newPool(portRange(first, last))
	var held []*Port
	for range p.ports {
		if r, err := p.reserve(); err == nil {
			held = append(held, r)
			fmt.Println(r.Address())
		}
	}
	fmt.Println()
	_, err := io.ReadAll(os.Stdin)
	for _, r := range held {
		r.Release()
	}
	return err
}

func portRange(first, last int) []int {
	var ports []int
	for port := first; port <= last; port++ {
		ports = append(ports, port)
	}
	return ports
}

// startHolder starts a process that holds the ports from first to last that it can get. The function that
// it returns waits until the process has them.
func startHolder(t *testing.T, first, last int) (reserved func() []string) {
	t.Helper()
	holder := exec.Command(os.Args[0])
	holder.Env = append(os.Environ(), fmt.Sprintf("%s=%d %d", holderEnv, first, last))
	holder.Stderr = os.Stderr
	in, err := holder.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := holder.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := holder.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		in.Close()
		if err := holder.Wait(); err != nil {
			t.Error(err)
		}
	})
	return func() []string {
		var addresses []string
		lines := bufio.NewScanner(out)
		for lines.Scan() && lines.Text() != "" {
			addresses = append(addresses, lines.Text())
		}
		return addresses
	}
}

// TestProcessesNeverShareAPort guards against a port that two processes reserve: the server of one then
// can't listen, or gets the requests that are meant for the other. Several processes take all ports that
// they can get of the same few, while nothing listens on these.
func TestProcessesNeverShareAPort(t *testing.T) {
	const processes, count = 4, 50
	first := portsOf(t, 1)[0]
	first = min(first, lastPort-count)
	var holders []func() []string
	for range processes {
		holders = append(holders, startHolder(t, first, first+count-1))
	}
	owner := make(map[string]int)
	for i, reserved := range holders {
		for _, address := range reserved() {
			if other, ok := owner[address]; ok {
				t.Errorf("%s is reserved by processes %d and %d", address, other, i)
			}
			owner[address] = i
		}
	}
	if len(owner) < count/2 {
		t.Errorf("%d of %d ports were reserved, too few to show anything", len(owner), count)
	}
}

// TestPortIsReservedWhileNothingListens guards against a port that is lost between the end of a server and
// its restart. Another process tries to get the port meanwhile, and gets it after the release.
func TestPortIsReservedWhileNothingListens(t *testing.T) {
	r, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Release()
	_, text, _ := net.SplitHostPort(r.Address())
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		l, err := net.Listen("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.ListenPacket("udp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		c.Close()
		if got := startHolder(t, port, port)(); len(got) != 0 {
			t.Fatalf("another process reserved %v", got)
		}
	}
	r.Release()
	if got := startHolder(t, port, port)(); len(got) != 1 {
		t.Errorf("another process reserved %v after the release, want %s", got, r.Address())
	}
}

// portsOf reserves n ports and returns their numbers.
func portsOf(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		_, text, err := net.SplitHostPort(Address(t))
		if err != nil {
			t.Fatal(err)
		}
		port, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		ports = append(ports, port)
	}
	return ports
}

// TestKernelGivesNoReservedPort guards against an outgoing connection, or a socket that is bound to port 0,
// that gets a reserved port.
func TestKernelGivesNoReservedPort(t *testing.T) {
	const reservedCount, connections = 1000, 500
	first, last, err := ephemeralRange()
	if err != nil {
		t.Fatal(err)
	}
	reserved := make(map[string]bool)
	for _, port := range portsOf(t, reservedCount) {
		if port >= first && port <= last {
			t.Errorf("%d is one of the kernel's ephemeral ports %d to %d", port, first, last)
		}
		reserved[strconv.Itoa(port)] = true
	}
	if len(reserved) != reservedCount {
		t.Errorf("%d different ports, want %d", len(reserved), reservedCount)
	}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, port, _ := net.SplitHostPort(c.LocalAddr().String()); reserved[port] {
			t.Fatalf("an outgoing connection got the reserved port %s", port)
		}
	}
}

// TestNoConnectionBeginsAtReservedPort guards against an outgoing connection that takes the port of a server
// between its end and its restart. The connections ask the kernel for exactly that ephemeral port. It grants
// that for one that was merely found to be free, and passes over a reserved one.
func TestNoConnectionBeginsAtReservedPort(t *testing.T) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range 20 {
		port := portsOf(t, 1)[0]
		from := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, port|port<<16)
			})
			return errors.Join(controlErr, err)
		}}
		c, err := from.Dial("tcp", l.Addr().String())
		if errors.Is(err, unix.ENOPROTOOPT) {
			t.Skip("the kernel doesn't know the option")
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if got := c.LocalAddr().(*net.TCPAddr).Port; got == port {
			t.Fatalf("a connection begins at the reserved port %d", port)
		}
	}
}

// TestPortInUseIsNotReserved checks that a port on which something else listens, for TCP or UDP, is passed over.
func TestPortInUseIsNotReserved(t *testing.T) {
	tcp, err := net.Listen("tcp", Address(t))
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", Address(t))
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for _, address := range []net.Addr{tcp.Addr(), udp.LocalAddr()} {
		if isFree(address.String()) {
			t.Errorf("%s %s counts as free", address.Network(), address)
		}
	}
}

// TestPortIsFreeWhileProcessesStart guards against a reserved port that can't be listened on for a moment: a
// process that is being forked shares the sockets of this one until it executes its program, among them the
// one with which Reserve tried the port.
func TestPortIsFreeWhileProcessesStart(t *testing.T) {
	const starters, ports = 4, 1000
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range starters {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					if err := exec.Command("true").Run(); err != nil {
						t.Error(err)
						return
					}
				}
			}
		})
	}
	defer wg.Wait()
	defer close(done)
	for range ports {
		r, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		r.Release()
	}
}

// TestPortsOutsideEphemeralRange checks which ports may be reserved for several ephemeral ranges.
func TestPortsOutsideEphemeralRange(t *testing.T) {
	for name, test := range map[string]struct{ first, last, want int }{
		"usual":      {32_768, 60_999, 32_768 - firstPort + 65_535 - 60_999},
		"wide":       {1024, 65_000, 535},
		"everything": {1024, 65_535, 0},
	} {
		if got := len(portsOutside(test.first, test.last)); got != test.want {
			t.Errorf("%s: %d ports, want %d", name, got, test.want)
		}
	}
	if _, err := newPool(nil).reserve(); err == nil || !strings.Contains(err.Error(), "no port") {
		t.Errorf("error %v without any port", err)
	}
}
