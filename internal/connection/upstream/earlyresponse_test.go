package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is the size of a request's body that no socket's buffers hold.
const uploadBytes = 64 << 20

// endlessZeros is a body without an end.
type endlessZeros struct{}

// Read implements io.Reader.
func (endlessZeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// partWait is how long a server waits after it has sent a part of a response, so that the part has been read by then.
const partWait = 20 * time.Millisecond

// serveEarly starts a server that responds to each request at once, before it has read the body, and then ends the
// connection with end. It returns the server's URL.
func serveEarly(t *testing.T, response string, end func(c *net.TCPConn, unread *bufio.Reader)) string {
	t.Helper()
	return serveConns(t, func(c net.Conn) {
		unread := bufio.NewReader(c)
		if _, err := http.ReadRequest(unread); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		time.Sleep(partWait)
		end(c.(*net.TCPConn), unread)
	})
}

// withoutLength is the head of a response whose body ends with its connection.
const withoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// TestResponseResetDuringUploadIsBroken guards against the part of a response that is taken for the whole: the server
// responded early, with a body that ends with its connection, and reset the connection while the request was still being
// written. The kernel reports a reset once. If the write got it, the read got an end of file.
func TestResponseResetDuringUploadIsBroken(t *testing.T) {
	const tries = 100
	for name, end := range map[string]func(c *net.TCPConn, unread *bufio.Reader){
		"reset":                  func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) },
		"closed with bytes left": func(*net.TCPConn, *bufio.Reader) {},
		"reset while it reads": func(c *net.TCPConn, unread *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, unread, 1<<20)
			_ = c.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			url, services, whole := serveEarly(t, withoutLength+"part", end), newServices(t), 0
			for range tries {
				a, err := services.Forward(testContext(t), ServiceCall{
					Address: url, Method: http.MethodPost, Path: "/", Body: io.LimitReader(endlessZeros{}, uploadBytes), ContentLength: uploadBytes,
				})
				if err != nil {
					if !isBroken(err) {
						t.Errorf("error %v, want ErrBroken", err)
					}
					continue
				}
				if body, err := io.ReadAll(a.Body); err == nil {
					whole++
				} else if !isBroken(err) {
					t.Errorf("body %q, error %v, want ErrBroken", body, err)
				}
				a.Body.Close()
			}
			if whole > 0 {
				t.Errorf("%d of %d responses that were reset seemed whole", whole, tries)
			}
		})
	}
}

// TestEarlyResponseThatEndsInOrderIsWhole checks that a response that comes before its request was read is whole if the
// server ends it in order and reads the rest of the request, and if its length or its chunks say so.
func TestEarlyResponseThatEndsInOrderIsWhole(t *testing.T) {
	readOn := func(c *net.TCPConn, unread *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, unread)
	}
	for name, response := range map[string]string{
		"without a length": withoutLength + "whole",
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url, services := serveEarly(t, response, readOn), newServices(t)
			for range 20 {
				a, err := services.Forward(testContext(t), ServiceCall{
					Address: url, Method: http.MethodPost, Path: "/", Body: io.LimitReader(endlessZeros{}, uploadBytes), ContentLength: uploadBytes,
				})
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(a.Body); string(body) != "whole" || err != nil {
					t.Errorf("body %q, error %v", body, err)
				}
				a.Body.Close()
			}
		})
	}
}

// TestResponseThatEndsWithoutItsRequestIsBroken checks that a response that ends with its connection isn't whole if the
// server never reads the request, or the rest of the request never comes: nothing shows that the server has ended it.
func TestResponseThatEndsWithoutItsRequestIsBroken(t *testing.T) {
	ended := make(chan struct{})
	url := serveEarly(t, withoutLength+"part", func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		<-ended
	})
	waiting, sent := io.Pipe()
	for name, body := range map[string]io.Reader{"never read": io.LimitReader(endlessZeros{}, uploadBytes), "never sent": waiting} {
		a, err := newServices(t).Forward(testContext(t), ServiceCall{Address: url, Method: http.MethodPost, Path: "/", Body: body, ContentLength: uploadBytes})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(a.Body); !isBroken(err) {
			t.Errorf("%s: body %q, error %v, want ErrBroken", name, got, err)
		}
		a.Body.Close()
	}
	_ = sent.Close()
	close(ended)
}
