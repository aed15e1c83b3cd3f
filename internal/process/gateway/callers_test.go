package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
)

// dialCallers opens a connection to the callers' port of a gateway.
func dialCallers(t *testing.T, g *testGateway) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.Addresses().Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// sendPart writes a part of a request.
func sendPart(t *testing.T, c net.Conn, part string) {
	t.Helper()
	if _, err := io.WriteString(c, part); err != nil {
		t.Fatalf("sending: %v", err)
	}
}

// wantStatus reads an answer to its end and checks its status.
func wantStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Errorf("the answer is incomplete: %v", err)
	}
	if resp.StatusCode != status {
		t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
}

// TestRefusalReachesCallerThatStillSends guards against a connection that is reset under a caller which still
// sends the body of a refused request, after the time and bytes for which the body is read: such a caller may
// never see the refusal.
func TestRefusalReachesCallerThatStillSends(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	g := f.start(f.settings("gw-1"))
	for _, connection := range []string{"close", "keep-alive"} {
		t.Run(connection, func(t *testing.T) {
			c := dialCallers(t, g)
			const parts, partBytes = 60, 64 << 10
			sendPart(t, c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: example.com\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", pathCompletion, connection, parts*partBytes))
			for range parts {
				time.Sleep(30 * time.Millisecond)
				sendPart(t, c, strings.Repeat("x", partBytes))
			}
			wantStatus(t, c, http.StatusUnauthorized)
		})
	}
}

// TestRequestThatArrivesWhenThePortClosesIsAnswered guards against a request that is dropped without an answer
// because the last bytes of its header arrive when the port was just closed.
func TestRequestThatArrivesWhenThePortClosesIsAnswered(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	g := f.start(f.settings("gw-1"))
	c := dialCallers(t, g)
	body := completion("alert", "p", 5, false)
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: example.com\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", pathCompletion, testKey, len(body))
	sendPart(t, c, header)
	stopped := make(chan struct{})
	go func() { defer close(stopped); g.stop() }()
	g.eventually("the port is closed", func() bool {
		probe, err := net.Dial("tcp", g.Addresses().Callers.String())
		if err == nil {
			probe.Close()
		}
		return err != nil
	})
	time.Sleep(2 * nextRequestTimeoutOfCallers) // longer than idle connections stay open
	sendPart(t, c, "\r\n"+body)
	wantStatus(t, c, http.StatusOK)
	<-stopped
}

// nextRequestTimeoutOfCallers is how long a connection without a request stays open when the port closes.
const nextRequestTimeoutOfCallers = 200 * time.Millisecond
