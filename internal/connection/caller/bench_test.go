package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest measures a request on a kept connection, client included, without a guard and with one.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a body of a request that came whole
		_, _ = io.WriteString(w, "answer")
	})
	for name, guard := range map[string]*Guard{"unguarded": nil, "guarded": newGuard()} {
		b.Run(name, func(b *testing.B) {
			l, err := Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := NewServer(&http.Server{Handler: handler}, guard)
			served := make(chan error, 1)
			go func() { served <- s.Serve(l, nil) }()
			defer func() { s.Close(); <-served }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			answers := bufio.NewReader(c)
			request := post("/answers", 5, "bytes")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body) // the next read shows that it failed
			}
		})
	}
}
