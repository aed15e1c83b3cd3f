package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestResponseCutInItsHeadIsBroken guards against responses that stop in the middle of their head, at any byte, as the
// connection ends in order: they would be taken for a success with an empty or short body. It covers the calls of
// ragwort-entry, of ragwort-gateway and of ragwort-controller.
func TestResponseCutInItsHeadIsBroken(t *testing.T) {
	const body = `{"runner":"r","run_id":"id","handle":"h"}`
	for _, lines := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(body)), "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "Content-Length: 0\r\n"} {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id\r\nContent-Type: %s\r\n%s\r\n", HeaderRunID, ContentTypeStream, lines)
		for cut := range len(head) {
			url := serveConns(t, func(c net.Conn) {
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(c, head[:cut])
			})
			e, ctx := newEngine(t, url, HTTPOptions{}), testContext(t)
			_, runErr := e.Run(ctx, RunRequest{RunID: "id"})
			_, prefillErr := e.Prefill(ctx, RunRequest{RunID: "id"})
			_, orderErr := e.Order(ctx, Order{ID: "id"})
			_, forwardErr := newServices(t).Forward(ctx, ServiceCall{Address: url, Method: http.MethodPost, Path: "/", Body: strings.NewReader("x"), ContentLength: 1})
			for call, err := range map[string]error{"run": runErr, "prefill": prefillErr, "order": orderErr, "forward": forwardErr} {
				if err == nil {
					t.Errorf("%s: a head that ends after %q is taken for a response", call, head[:cut])
				}
			}
		}
	}
}
