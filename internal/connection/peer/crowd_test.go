package peer

import (
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/testport"
)

// TestConnectionsOfStrangersAreBounded guards against clients that take the descriptors of a process at the peers' port.
func TestConnectionsOfStrangersAreBounded(t *testing.T) {
	h, err := NewHub(HubConfig{Self: Hello{Name: "a", Incarnation: 1}, SharedKey: []byte("key"), MaxAccepted: 4}, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	const allowed = 4 + maxUnauthenticated
	if most := testport.MostConnections(t, 2*allowed, h.Serve); most > allowed {
		t.Errorf("%d connections were open, %d may be", most, allowed)
	}
}
