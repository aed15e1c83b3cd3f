package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// OpenStore returns a client of the platform's object store, which the caller must close.
// The name of the instance seeds the jitter of the client's retries, so that the daemons
// of a fleet do not retry simultaneously.
func OpenStore(p settings.Platform, i settings.Instance, key string) (*platform.Client, error) {
	return platform.NewClient(platform.ClientConfig{
		Address:        p.Address,
		Key:            key,
		CAFile:         p.CAFile,
		Timeout:        time.Duration(p.TimeoutMS) * time.Millisecond,
		CallsPerSecond: p.CallsPerSecond,
		Seed:           xxhash.Sum64String(i.Name),
	})
}
