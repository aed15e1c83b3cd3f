package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
)

// crowdMemory is the memory of the instance in these tests, in bytes.
const crowdMemory = settings.DefaultMemoryMB << 20

// joinCrowd has clients send text and then fill, and keeps their connections open until the test ends. It returns when
// each has sent all, or can't any more.
func joinCrowd(t *testing.T, g *testGateway, clients int, text, fill string) {
	t.Helper()
	address := strings.TrimPrefix(g.base, "http://")
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return // the gateway may refuse such clients
			}
			t.Cleanup(func() { c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // a write shows that it failed
			if _, err := io.WriteString(c, text); err == nil {
				_, _ = io.WriteString(c, fill) // as above
			}
		})
	}
	sending.Wait()
}

// TestCrowdIsBounded guards against clients that make a gateway hold more than the memory of its instance by bodies, or by
// heads, that don't come to their end. An ordinary request is answered meanwhile.
func TestCrowdIsBounded(t *testing.T) {
	const bodyBytes = settings.DefaultBodyBytes
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: example.com\r\nAuthorization: Bearer %s\r\n", pathCompletion, testKey)
	for _, crowd := range []struct {
		name       string
		clients    int
		text, fill string
	}{
		{"bodies", 100, head + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes), strings.Repeat("b", bodyBytes-512)},
		{"bodies in a chunk", 100, head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodyBytes), strings.Repeat("b", bodyBytes-512)},
		{"heads", 500, head, "x: " + strings.Repeat("v", 1000<<10)},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			f := newFleet(t, runner.Config{Name: "r1"})
			s := f.settings("gw-1")
			s.Limits.BodyBytes = bodyBytes
			g := f.start(s)
			joinCrowd(t, g, crowd.clients, crowd.text, crowd.fill)
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			if memory.HeapAlloc > crowdMemory {
				t.Errorf("%d MiB are held, the instance has %d", memory.HeapAlloc>>20, crowdMemory>>20)
			}
			t.Logf("%d MiB are held", memory.HeapAlloc>>20)
			g.eventually("an ordinary request is answered", func() bool {
				resp, err := testRequest{body: completion("alert", "how is the air", 4, false)}.do(g)
				if err != nil {
					return false
				}
				defer resp.Body.Close()
				return resp.StatusCode == http.StatusOK
			})
		})
	}
}
