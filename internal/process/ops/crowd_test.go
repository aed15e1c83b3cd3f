package ops

import (
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/testport"
)

// TestConnectionsAreBounded guards against clients that take the descriptors of a process at the operators' port.
func TestConnectionsAreBounded(t *testing.T) {
	s := New(Config{Source: fakeSource{true}, Key: "secret"})
	if most := testport.MostConnections(t, 2*maxConnections, s.Serve); most > maxConnections {
		t.Errorf("%d connections were open, %d may be", most, maxConnections)
	}
}
