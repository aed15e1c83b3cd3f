package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
)

// respondRaw returns a handler that writes the bytes of a response and closes the connection.
func respondRaw(t *testing.T, response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(buffered, response)
		_ = buffered.Flush()
	}
}

// TestMalformedHeadIsLostAnswer guards against a response with a malformed head that was taken for the platform's: a write
// seemed to have taken effect, or not.
func TestMalformedHeadIsLostAnswer(t *testing.T) {
	const object = `{"kind":"Route","name":"a","version":4,"code":"conflict"}`
	for name, head := range map[string]string{
		"status 000": "HTTP/1.1 000 Trouble\r\n",
		"status 600": "HTTP/1.1 600 Trouble\r\n",
		"field name": "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(respondRaw(t, head+"Connection: close\r\n\r\n"+object))
			defer server.Close()
			client, ctx := newClient(t, platform.ClientConfig{Address: server.URL, Timeout: time.Second}), testContext(t)
			o := platform.Object{Kind: "Route", Name: "a", Version: 3}
			_, err := client.Get(ctx, "Route", "a")
			checkError(t, err, platform.ErrUnavailable)
			_, _, err = client.List(ctx, "Route")
			checkError(t, err, platform.ErrUnavailable)
			_, err = client.Create(ctx, o)
			checkError(t, err, platform.ErrOutcomeUnknown)
			_, err = client.Update(ctx, o)
			checkError(t, err, platform.ErrOutcomeUnknown)
			checkError(t, client.Delete(ctx, "Route", "a", 3, "w", "n"), platform.ErrOutcomeUnknown)
			_, err = client.Watch(ctx, []string{"Route"}, 1)
			checkError(t, err, platform.ErrUnavailable)
		})
	}
}

// checkError checks an error and goes on with the test.
func checkError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
}
