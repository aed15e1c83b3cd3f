package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// OpenStore connects to the platform. The jitter of its retries is seeded by the
// instance's name, so that the daemons of a fleet never retry in step.
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
