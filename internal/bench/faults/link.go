package faults

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/testport"
)

const (
	anyPort = "127.0.0.1:0"
	// dialTimeout is how long a forwarder waits for the target's port. It is shorter than an attempt may take,
	// so that a port that takes no connections is noticed, and longer than this process may get no
	// processor time on a busy machine.
	dialTimeout     = 10 * time.Second
	relistenEvery   = 10 * time.Millisecond
	copyBytes       = 16 << 10
	streamingWindow = 60 * time.Millisecond // a stream sends a few tokens in this time
)

// link forwards TCP connections to one target. A cut closes the forwarded connections
// and makes the link refuse new ones until every cut is healed.
type link struct {
	port           *testport.Port // reserved also while the link is cut
	address        string
	identifyDialer bool // determine who dials, see dialerName

	mu            sync.Mutex
	target        string // empty: not known yet
	listener      net.Listener
	reserved      *reservedPort     // holds the port while nothing listens; nil: not reserved
	cuts          int               // cuts and stalls that aren't healed
	closed        bool              // no new connections are accepted, and the port isn't opened again
	cutsByDialer  map[string]int    // cuts and stalls of single dialers that aren't healed, by the dialer's name
	pairs         map[*pair]bool    // the open connections
	acceptedCount int               // connections forwarded since the start
	ends          map[string]string // how each connection ended, by the address of the dialer's end
	running       sync.WaitGroup    // goroutines of the link
}

// pair is one forwarded connection: near is the dialer's side, far the target's.
type pair struct {
	near, far net.Conn
	from      string               // the dialer's name, guarded by the link's mu; empty if not known
	gate      atomic.Pointer[gate] // nil: not stalled
	answered  atomic.Int64         // when the target last sent data, in Unix nanoseconds
}

// gate stalls connections until it opens. No data is lost, because in a real network the
// kernels of the two ends would retransmit it.
type gate struct{ opened chan struct{} }

func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) open() { close(g.opened) }

// errCutFromDialer ends a connection from a dialer for which the link is cut.
var errCutFromDialer = errors.New("the link is cut for this dialer")

// waitOpen waits until the gate opens if the connection is stalled.
func (p *pair) waitOpen() {
	if g := p.gate.Load(); g != nil {
		<-g.opened
	}
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}

// newLink opens a forwarder to a target (host:port). An empty target is set later with
// setTarget.
func newLink(target string) (*link, error) { return openLink(target, false) }

// newPeerLink opens a forwarder to a gateway's peer port, which is set later with setTarget.
// The link can be cut for single dialers.
func newPeerLink() (*link, error) { return openLink("", true) }

// openLink opens a forwarder on a reserved port of the loopback interface.
func openLink(target string, identifyDialer bool) (*link, error) {
	port, err := testport.Reserve()
	if err != nil {
		return nil, errors.Wrap(err, "reserve a port for a forwarder")
	}
	listener, err := net.Listen("tcp", port.Address())
	if err != nil {
		port.Release()
		return nil, errors.Wrap(err, "listen for a forwarder")
	}
	l := &link{
		port: port, address: port.Address(), target: target, identifyDialer: identifyDialer,
		cutsByDialer: map[string]int{}, pairs: map[*pair]bool{}, ends: map[string]string{},
	}
	l.accept(listener)
	return l, nil
}

// setTarget sets the target (host:port) of connections that are accepted from now on.
func (l *link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

func (l *link) url() string { return "http://" + l.address }

// accept starts to accept connections. It is called with l.mu held, or before the link is
// shared.
func (l *link) accept(listener net.Listener) {
	l.listener = listener
	l.running.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			l.running.Go(func() { l.forward(near) })
		}
	})
}

// forward dials the target and copies data in both directions until both ends have closed their
// connections for writing, or one connection fails. It closes a connection at once if the link is cut or
// the target refuses.
func (l *link) forward(near net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		l.recordEnd(near, "forwarder: no connection to the target: "+err.Error())
		near.Close()
		return
	}
	p := &pair{near: near, far: far}
	if !l.add(p) {
		l.recordEnd(near, "forwarder: the link is cut")
		p.close()
		return
	}
	defer l.remove(p)
	var back sync.WaitGroup
	back.Go(func() {
		err := p.copyToDialer()
		l.recordEnd(near, "forwarder: "+far.LocalAddr().String()+" from the target: "+err.Error())
		p.endDirection(near, err)
	})
	err = l.copyToTarget(p)
	l.recordEnd(near, "forwarder: to the target: "+err.Error())
	p.endDirection(far, err)
	back.Wait()
	p.close()
}

// endDirection passes the end of what one end sent on to the other end, which may still answer. After any
// other error it closes both connections.
func (p *pair) endDirection(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		if tcp.CloseWrite() == nil {
			return
		}
	}
	p.close()
}

// recordEnd records how a connection of a dialer ended. Only its first end counts.
func (l *link) recordEnd(near net.Conn, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if dialer := near.RemoteAddr().String(); l.ends[dialer] == "" {
		l.ends[dialer] = how
	}
}

// endOf returns how the connection from a dialer's address ended.
func (l *link) endOf(dialer string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if how := l.ends[dialer]; how != "" {
		return how
	}
	return "forwarder: no such connection"
}

// copyToDialer forwards what the target sends until the target or the dialer closes its
// connection. It returns the error that ended it, like copyToTarget.
func (p *pair) copyToDialer() error {
	buffer := make([]byte, copyBytes)
	for {
		n, err := p.far.Read(buffer)
		if n > 0 {
			p.answered.Store(time.Now().UnixNano())
			p.waitOpen()
			if _, werr := p.near.Write(buffer[:n]); werr != nil {
				return werr
			}
		}
		if err != nil {
			p.waitOpen()
			return err
		}
	}
}

// copyToTarget forwards what the dialer sends. If the link is cut for this dialer, it
// returns before it forwards the dialer's first message.
func (l *link) copyToTarget(p *pair) error {
	var name *dialerName
	if l.identifyDialer {
		name = &dialerName{}
	}
	buffer := make([]byte, copyBytes)
	for {
		n, err := p.near.Read(buffer)
		if name != nil && name.feed(buffer[:n]) {
			if !l.identify(p, name.name) {
				return errCutFromDialer
			}
			name = nil
		}
		if n > 0 {
			p.waitOpen()
			if _, werr := p.far.Write(buffer[:n]); werr != nil {
				return werr
			}
		}
		if err != nil {
			p.waitOpen()
			return err
		}
	}
}

// add registers a new connection. It reports false if the link is cut or closed.
func (l *link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts > 0 || l.closed {
		return false
	}
	l.acceptedCount++
	l.pairs[p] = true
	return true
}

func (l *link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// identify records who dialed a connection. It reports whether the link is open for this
// dialer.
func (l *link) identify(p *pair, from string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.from = from
	return l.cutsByDialer[from] == 0
}

// streaming returns the number of connections on which the target sent data within the
// streaming window.
func (l *link) streaming() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, since := 0, time.Now().Add(-streamingWindow).UnixNano()
	for p := range l.pairs {
		if p.answered.Load() > since {
			n++
		}
	}
	return n
}

// connectionCount returns the number of connections forwarded so far.
func (l *link) connectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acceptedCount
}

// cut closes every connection and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts++
	l.stopListening()
	for p := range l.pairs {
		p.close()
	}
}

// stopListening closes the port, and keeps other processes from opening it. It is called with l.mu held.
func (l *link) stopListening() {
	l.listener.Close()
	if l.reserved != nil {
		return
	}
	reserved, err := reservePort(l.address)
	if err != nil {
		return // another process may have it already, or a listener of this one is only just closed
	}
	l.reserved = reserved
}

// cutFrom closes the connections of one dialer and refuses new ones from it until healFrom.
func (l *link) cutFrom(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutsByDialer[name]++
	for p := range l.pairs {
		if p.from == name {
			p.close()
		}
	}
}

// healFrom undoes one cutFrom or stallFrom.
func (l *link) healFrom(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutsByDialer[name]--
}

// stall stalls every connection with a gate and refuses new ones. It counts as a cut,
// which heal undoes.
func (l *link) stall(g *gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts++
	l.stopListening()
	for p := range l.pairs {
		p.gate.Store(g)
	}
}

// stallFrom stalls the connections of one dialer and refuses new ones; healFrom undoes it.
func (l *link) stallFrom(name string, g *gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutsByDialer[name]++
	for p := range l.pairs {
		if p.from == name {
			p.gate.Store(g)
		}
	}
}

// heal undoes one cut or stall.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts--
	l.relisten()
}

// relisten listens again unless the link is still cut. It retries, because the kernel may
// not release the port immediately. It is called with l.mu held.
func (l *link) relisten() {
	if l.cuts > 0 || l.closed {
		return
	}
	l.releasePort()
	listener, err := net.Listen("tcp", l.address)
	if err == nil {
		l.accept(listener)
		return
	}
	time.AfterFunc(relistenEvery, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.relisten()
	})
}

// releasePort ends the reservation of the port. It is called with l.mu held.
func (l *link) releasePort() {
	if l.reserved != nil {
		l.reserved.release()
		l.reserved = nil
	}
}

// close cuts the link permanently and waits for its goroutines.
func (l *link) close() {
	l.cut()
	l.mu.Lock()
	l.closed = true
	l.releasePort()
	l.mu.Unlock()
	l.running.Wait()
	l.port.Release()
}
