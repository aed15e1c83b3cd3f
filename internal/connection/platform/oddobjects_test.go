package platform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
)

// oddObjects are objects of other writers that can't be decoded as a whole. All are valid JSON.
var oddObjects = map[string]string{
	"deeply nested spec":    `{"kind":"Route","name":"odd","version":2,"spec":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	"a text as version":     `{"kind":"Route","name":"odd","version":"2","spec":{}}`,
	"too large a version":   `{"kind":"Route","name":"odd","version":1e400,"spec":{}}`,
	"a number as name":      `{"kind":"Route","name":7,"version":2,"spec":{}}`,
	"a number":              `7`,
	"an array":              `[[7]]`,
	"nothing":               `null`,
	"deeply nested objects": `{"kind":"Route","name":"odd","version":2,"spec":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000) + `}`,
}

// newOddClient returns a client of a platform whose list and watch have an odd object before a good one.
func newOddClient(t *testing.T, odd string) *platform.Client {
	t.Helper()
	const good = `{"kind":"Route","name":"good","version":3,"spec":{}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != platform.WatchPath:
			_, _ = fmt.Fprintf(w, `{"version":3,"objects":[%s,%s]}`, odd, good)
		case r.URL.Query().Get("from") == "1":
			_, _ = fmt.Fprintf(w, "{\"type\":\"put\",\"object\":%s}\n{\"type\":\"put\",\"object\":%s}\n", odd, good)
		default:
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.Close)
	return newClient(t, platform.ClientConfig{Address: server.URL})
}

// TestOddObjectDoesNotStopReaders guards against readers of the platform's objects, such as ragwort-gateway, that stop to
// follow them as one object of another writer can't be decoded.
func TestOddObjectDoesNotStopReaders(t *testing.T) {
	for name, odd := range oddObjects {
		client, ctx := newOddClient(t, odd), testContext(t)
		objects, _, err := client.List(ctx, "Route")
		if err != nil || len(objects) == 0 || objects[0].Kind == "" || objects[len(objects)-1].Name != "good" {
			t.Errorf("%s: list: %d objects, %.200v", name, len(objects), err)
		}
		w, err := client.Watch(ctx, []string{"Route"}, 1)
		if err != nil {
			t.Fatal(err)
		}
		for {
			e, err := w.Next(ctx)
			if err != nil {
				t.Errorf("%s: watch: %v", name, err)
				break
			}
			if e.Object.Name == "good" {
				break
			}
		}
		w.Close()
	}
}
