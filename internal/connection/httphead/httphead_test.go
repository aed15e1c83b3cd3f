package httphead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// TestCheck checks heads that net/http reads without an error.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name, head string
		wellFormed bool
	}{
		{"200", "HTTP/1.1 200 OK", true},
		{"200 without a reason", "HTTP/1.1 200", true},
		{"a status that isn't registered", "HTTP/1.1 299 Odd", true},
		{"599", "HTTP/1.1 599 Last", true},
		{"000", "HTTP/1.1 000 Trouble", false},
		{"099", "HTTP/1.1 099 Trouble", false},
		{"a sign", "HTTP/1.1 +20 OK", false},
		{"a switch of protocols", "HTTP/1.1 101 Switching Protocols", false},
		{"199", "HTTP/1.1 199 Interim", false},
		{"600", "HTTP/1.1 600 Trouble", false},
		{"999", "HTTP/1.1 999 Trouble", false},
		{"names of tokens", "HTTP/1.1 200 OK\r\nX-Odd!#$%&'*+.^_`|~1: 1", true},
		{"a folded value", "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2", true},
		{"a blank before the colon", "HTTP/1.1 200 OK\r\nX-Odd : 1", false},
		{"a blank inside a name", "HTTP/1.1 200 OK\r\nX Odd: 1", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head+"\r\nContent-Length: 0\r\n\r\n")), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if err := Check(resp); (err == nil) != c.wellFormed {
				t.Errorf("error %v, want well-formed %t", err, c.wellFormed)
			}
		})
	}
}
