package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// TestEarlyResponseThatIsResetIsNotWhole guards against the part of a response that is taken for the whole: a service
// responds to a long upload before it has read it, with a body that ends with its connection, and resets the connection while
// the upload is still being written.
func TestEarlyResponseThatIsResetIsNotWhole(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	address := testport.Address(t)
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
				reset(c)
			}()
		}
	}()
	f.put(resource.KindService, "uploads", resource.Service{Upstreams: []resource.ServiceUpstream{{
		Name: "uploads-0", Address: "http://" + address, Zone: testZone, State: resource.RunnerServing,
	}}})
	f.putServiceRoute("uploads", "/uploads", "")
	s := f.settings("gw-1")
	s.Limits.BodyBytes = 16 << 20
	g := f.start(s)
	upload, whole, passedOn := strings.Repeat("u", 12<<20), 0, 0
	for range 40 {
		resp, err := testRequest{method: http.MethodPost, path: "/uploads", body: upload}.do(g)
		if err != nil {
			continue // the connection was aborted before the caller had sent all
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			passedOn++
			if err == nil {
				whole++
			}
		}
		if err == nil && resp.StatusCode == http.StatusOK && string(body) != "part" {
			t.Errorf("body %q", body)
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d responses that were reset reached callers as complete ones", whole, passedOn)
	}
}
