package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"testing"
)

// frames returns what a relay writes to its tunnel: messages, and the one about the orderly end.
func frames(messages ...string) []byte {
	var out bytes.Buffer
	for _, m := range messages {
		out.Write([]byte{0x82, byte(len(m))}) // a binary message in one frame, unmasked
		out.WriteString(m)
	}
	out.Write([]byte{0x88, 2, 1000 >> 8, 1000 & 0xff})
	return out.Bytes()
}

// startCutRelay starts a relay that accepts tunnels, writes bytes to them, and ends their connections.
func startCutRelay(t *testing.T, written []byte, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		sum := sha1.Sum([]byte(req.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")) // RFC 6455, section 1.3
		answer := "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " +
			base64.StdEncoding.EncodeToString(sum[:]) + "\r\n\r\n"
		_, _ = io.WriteString(c, answer)
		_, _ = c.Write(written)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return l.Addr().String()
}

// TestCutTunnelHasNoOrderlyEnd guards against a response that ends with its connection and looks complete because the relay
// was killed: a tunnel that is cut after any byte, inside a frame or between two, must not end as the upstream's connection.
func TestCutTunnelHasNoOrderlyEnd(t *testing.T) {
	whole := frames("HTTP/1.1 200 OK\r\n\r\n", "a", "bc")
	for _, reset := range []bool{false, true} {
		for cut := 0; cut <= len(whole); cut++ {
			c, err := NewClient().Dial(context.Background(), startCutRelay(t, whole[:cut], reset), Target{Upstream: "u", Address: "127.0.0.1:1"})
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(c)
			if orderly := err == nil; orderly != (cut == len(whole)) && !(reset && cut == len(whole)) {
				t.Errorf("reset %t, cut after %d of %d bytes: orderly end: %t, %v", reset, cut, len(whole), orderly, err)
			}
			_ = c.Close()
		}
	}
}
