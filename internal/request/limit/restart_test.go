package limit

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// TestRestartedGatewayKeepsToRate guards against an account that gets its burst anew at each start: a gateway that is lost
// forgets what it admitted, and a bucket of which nothing is known was taken for a full one.
func TestRestartedGatewayKeepsToRate(t *testing.T) {
	spec := resource.ClientAccount{RequestsPerSec: 1, Burst: 10}
	now, admitted := time.Unix(1000, 0), 0
	for range 3 { // runs of the only gateway
		c := New(Config{Self: "gateway"})
		for c.Admit(now, "account", spec, 1) == nil {
			admitted++
		}
		now = now.Add(time.Second)
	}
	if most := spec.Burst + int(spec.RequestsPerSec)*2; admitted > most {
		t.Errorf("%d requests admitted in 2 s, at most %d may be", admitted, most)
	}
}
