package testport

import (
	"net"
	"sync"
	"time"
)

// settleTime is how long MostConnections waits for connections to be accepted.
const settleTime = 500 * time.Millisecond

// MostConnections opens n connections to a server, sends the beginning of a request on each, and returns how many of them
// the server had open at once. It closes the server's listener before it returns, but not the server.
func MostConnections(t TB, n int, serve func(net.Listener) error) int {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	counted := &countingListener{Listener: l}
	served := make(chan error, 1)
	go func() { served <- serve(counted) }()
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(settleTime)
	most := counted.mostOpen()
	_ = l.Close() // ends serve, whose error doesn't matter
	<-served
	return most
}

// countingListener counts the connections that are open at once.
type countingListener struct {
	net.Listener

	mu         sync.Mutex
	open, most int
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.most = max(l.most, l.open)
	return &countedConn{Conn: c, l: l}, nil
}

func (l *countingListener) mostOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most
}

// countedConn is a connection of a countingListener.
type countedConn struct {
	net.Conn
	l    *countingListener
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		c.l.open--
	})
	return c.Conn.Close()
}
