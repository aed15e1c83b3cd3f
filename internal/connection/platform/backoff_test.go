package platform

import (
	"slices"
	"testing"
)

// draws gives the first draws of the jitter of a new client.
func draws(t *testing.T, seed uint64) []float64 {
	t.Helper()
	c, err := NewClient(ClientConfig{Address: "http://127.0.0.1:1", Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return []float64{c.jitter.draw(), c.jitter.draw(), c.jitter.draw()}
}

func TestClientsWithoutSeedDrawDifferently(t *testing.T) {
	if slices.Equal(draws(t, 0), draws(t, 0)) {
		t.Error("two clients without a seed back off in step")
	}
	if !slices.Equal(draws(t, 7), draws(t, 7)) {
		t.Error("two clients of one seed draw differently")
	}
}
