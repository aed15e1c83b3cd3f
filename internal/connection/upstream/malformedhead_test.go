package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// serveConns starts a server that handles each connection with f and then closes it. It returns the server's URL, and waits
// for all connections at the end of the test.
func serveConns(t *testing.T, f func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	t.Cleanup(func() { l.Close(); conns.Wait() })
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer c.Close()
				f(c)
			})
		}
	})
	return "http://" + l.Addr().String()
}

// serveRaw starts a server that reads one whole request of each connection, responds with the same bytes and waits for the
// other side to close. It returns the server's URL.
func serveRaw(t *testing.T, response string) string {
	t.Helper()
	return serveConns(t, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, response)
		_, _ = io.Copy(io.Discard, c)
	})
}

// checkHeadIsBroken checks that each kind of call to a server whose responses have the given first line and further lines of
// the head is broken, whatever the body says.
func checkHeadIsBroken(t *testing.T, firstLine, lines string) {
	t.Helper()
	for _, body := range []string{
		`{"runner":"r","run_id":"id","handle":"h"}`,
		`{"refusal":{"code":"busy","subject":"id"}}`,
		`{"refusal":{"code":"busy","subject":""}}`,
	} {
		head := fmt.Sprintf("HTTP/1.1 %s\r\n%s: id\r\nContent-Type: %s\r\n%sContent-Length: %d\r\n\r\n", firstLine, HeaderRunID, ContentTypeStream, lines, len(body))
		url := serveRaw(t, head+body)
		e, ctx := newEngine(t, url, HTTPOptions{}), testContext(t)
		_, runErr := e.Run(ctx, RunRequest{RunID: "id"})
		_, resumeErr := e.Resume(ctx, "id", 0)
		_, loadErr := e.Load(ctx)
		_, stateErr := e.State(ctx)
		_, eventsErr := e.CacheEvents(ctx, 0)
		_, prefillErr := e.Prefill(ctx, RunRequest{RunID: "id"})
		_, orderErr := e.Order(ctx, Order{ID: "id"})
		_, forwardErr := newServices(t).Forward(ctx, ServiceCall{Address: url, Method: http.MethodPost, Path: "/", Body: strings.NewReader("x"), ContentLength: 1})
		for call, err := range map[string]error{
			"run": runErr, "resume": resumeErr, "load": loadErr, "state": stateErr, "cache events": eventsErr,
			"prefill": prefillErr, "order": orderErr, "cancel": e.Cancel(ctx, "id"), "forward": forwardErr,
		} {
			if !isBroken(err) {
				t.Errorf("%s, body %s: error %v, want ErrBroken", call, body, err)
			}
		}
	}
}

// TestMalformedStatusIsBroken guards against responses whose status HTTP doesn't have: a refusal in such a response was
// believed, and others were passed on.
func TestMalformedStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000 Trouble", "000", "099 Trouble", "+20 OK", "101 Switching Protocols", "600 Trouble", "999 Trouble"} {
		t.Run(status, func(t *testing.T) { checkHeadIsBroken(t, status, "") })
	}
}

// TestMalformedFieldNameIsBroken guards against responses with a field whose name has a blank, which net/http reads without
// an error, but not as the field that it seems to be.
func TestMalformedFieldNameIsBroken(t *testing.T) {
	for _, line := range []string{"X-Odd : 1", "X Odd: 1", "Content-Length : 3", "Transfer-Encoding : chunked"} {
		t.Run(line, func(t *testing.T) { checkHeadIsBroken(t, "200 OK", line+"\r\n") })
	}
}

// TestMalformedTrailerIsBroken guards against a body whose trailer has a field with a malformed name: it isn't whole.
func TestMalformedTrailerIsBroken(t *testing.T) {
	for trailer, wellFormed := range map[string]bool{"": true, "X-Sum: 1\r\n": true, "X-Odd : 1\r\n": false, "X Odd: 1\r\n": false, "X-O\x01dd: 1\r\n": false} {
		t.Run(trailer, func(t *testing.T) {
			url := serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n")
			a, err := newServices(t).Forward(testContext(t), ServiceCall{Address: url, Method: http.MethodGet, Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
			body, err := io.ReadAll(a.Body)
			if string(body) != "body" || (err == nil) != wellFormed || (err != nil && !isBroken(err)) {
				t.Errorf("body %q, error %v, want whole %t", body, err, wellFormed)
			}
		})
	}
}

// TestMalformedInterimHeadIsBroken guards against a malformed head of a response that comes before the final one.
func TestMalformedInterimHeadIsBroken(t *testing.T) {
	for line, wellFormed := range map[string]bool{"Link: </x>": true, "X-Odd : 1": false, "X Odd: 1": false} {
		t.Run(line, func(t *testing.T) {
			url := serveRaw(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			a, err := newServices(t).Forward(testContext(t), ServiceCall{Address: url, Method: http.MethodGet, Path: "/"})
			if (err == nil) != wellFormed || (err != nil && !isBroken(err)) {
				t.Errorf("error %v, want a response %t", err, wellFormed)
			}
			if err == nil {
				a.Body.Close()
			}
		})
	}
}

// TestChunksInHTTP10AreBroken guards against a response that says HTTP/1.0 and has chunks, which HTTP/1.0 doesn't have: the
// lines of its chunks are passed on as a part of the body.
func TestChunksInHTTP10AreBroken(t *testing.T) {
	url := serveRaw(t, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	ctx, cancel := context.WithTimeout(testContext(t), time.Second)
	defer cancel()
	a, err := newServices(t).Forward(ctx, ServiceCall{Address: url, Method: http.MethodGet, Path: "/"})
	if err == nil {
		part := make([]byte, 64)
		n, _ := a.Body.Read(part)
		a.Body.Close()
		t.Errorf("body begins with %q, want ErrBroken", part[:n])
	}
}
