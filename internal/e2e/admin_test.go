package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
)

// getAdmin reads JSON from a stand-in's admin endpoint.
func getAdmin[T any](t *testing.T, url string) T {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var out T
	if err := json.NewDecoder(response.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// putAdmin writes JSON to a stand-in's admin endpoint.
func putAdmin(t *testing.T, url string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("put %s: status %d", url, response.StatusCode)
	}
}
