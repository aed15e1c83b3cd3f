package entry

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// UpstreamFeed reads the platform's list of upstreams. Errors are those of the
// project's store: ErrHistoryGone asks for a new list.
type UpstreamFeed interface {
	// List gives all upstreams and the revision to watch from.
	List(ctx context.Context) ([]fleet.Upstream, uint64, error)
	// Watch waits for changes after a revision: entries put, ids of entries gone.
	Watch(ctx context.Context, from uint64, wait time.Duration) (put []fleet.Upstream, gone []string, revision uint64, err error)
}

// ConfigFeed reads the configuration. Errors are those of the project's store.
type ConfigFeed interface {
	// List gives the newest version, nil if there is none yet, and the revision to watch from.
	List(ctx context.Context) (*routing.Config, uint64, error)
	// Watch waits for a newer version after a revision; nil if none came.
	Watch(ctx context.Context, from uint64, wait time.Duration) (*routing.Config, uint64, error)
}

// Engines calls engines beside the requests of callers.
type Engines interface {
	// Release lets an engine forget the KV cache of a prompt that nobody will fetch.
	Release(ctx context.Context, u fleet.Upstream, handle string) error
}

// Config of an entry process.
type Config struct {
	Settings  *settings.Entry
	Upstreams UpstreamFeed
	Configs   ConfigFeed
	Dialect   exchange.Dialect
	Engines   Engines
	ReadyPath string                          // of the balancer's question
	Reload    func() (*settings.Entry, error) // reads the settings again; nil: they don't change
}
