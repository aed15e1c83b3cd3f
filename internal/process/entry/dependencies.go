package entry

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/scaling"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// UpstreamFeed reads the platform's list of upstreams. Its errors are those of package platform.
// After ErrHistoryGone, List has to be called again.
type UpstreamFeed interface {
	// List returns all entries and the version to watch from.
	List(ctx context.Context) ([]fleet.Change, uint64, error)
	// Watch waits for changes after a version. It returns them and the version to continue from.
	Watch(ctx context.Context, from uint64, wait time.Duration) ([]fleet.Change, uint64, error)
	// AnnounceRoleChange announces to all instances that an incarnation of an upstream is about to change its
	// role; an empty role removes the mark.
	AnnounceRoleChange(ctx context.Context, u fleet.Upstream, role upstream.Role) error
}

// ConfigFeed reads the configuration. Its errors are those of package platform. ErrInvalid comes with
// the store's version to watch from, and the previous configuration stays in force.
type ConfigFeed interface {
	// List returns the newest configuration, nil if there is none yet, and the store's version to
	// watch from.
	List(ctx context.Context) (*routing.Config, uint64, error)
	// Watch waits for a configuration that is newer than a version of the store. It returns nil if none
	// came, and the version to continue from.
	Watch(ctx context.Context, from uint64, wait time.Duration) (*routing.Config, uint64, error)
}

// RecordWatcher watches the system's own objects.
type RecordWatcher interface {
	// Changes waits for changes of a kind after a version. It returns them and the version to
	// continue from.
	Changes(ctx context.Context, kind string, from uint64, wait time.Duration) ([]platform.Event, uint64, error)
	// ListStale lists objects from a copy that may be seconds old, which costs the platform less. The
	// returned version can't be watched from.
	ListStale(ctx context.Context, kind string) ([]platform.Object, uint64, error)
}

// Engines makes calls to engines other than callers' requests.
type Engines interface {
	// OnResponse sets the function that is called with what each response says about its engine. The
	// process sets the function before it makes the first call.
	OnResponse(handle func(u fleet.Upstream, info exchange.ResponseInfo))
	// Release releases the KV cache of a prompt that no engine will fetch.
	Release(ctx context.Context, u fleet.Upstream, handle string) error
	// State reads the state that an engine reports, which is some hundred milliseconds old.
	State(ctx context.Context, u fleet.Upstream) (EngineState, error)
	// SetRole orders an engine to change its role. The engine refuses the order unless it has accepted
	// exactly acceptedBefore orders since its start. fence is the fencing token of the lease, and holder
	// the instance that holds the lease. The error says why the result is not OrderAccepted or OrderAlreadyApplied.
	SetRole(ctx context.Context, u fleet.Upstream, role upstream.Role, acceptedBefore uint64, holder string, fence uint64) (OrderResult, error)
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Role      upstream.Role
	StartedMS int64  // start of the reporting incarnation, as in fleet.Upstream; 0: not reported
	Busy      bool   // an order is in progress
	Orders    uint64 // orders accepted since the start of the engine
	Queued    int
	Running   int
}

// OrderResult is the result of an order.
type OrderResult string

// Results of an order.
const (
	OrderAccepted       OrderResult = "accepted"
	OrderAlreadyApplied OrderResult = "holds already" // the engine has that role already
	OrderRefused        OrderResult = "refused"       // had no effect
	OrderNotSent        OrderResult = "not sent"
	OrderUnknown        OrderResult = "unknown" // may take effect, even seconds later
)

// Duties makes calls to the platform that only the holder of the lease may make, on behalf of the whole
// deployment.
type Duties interface {
	// ReportUsage reports the number of requests that began to run in a window, by client account.
	// The error says why the result is not DutyDone.
	ReportUsage(ctx context.Context, holder string, fence uint64, window int64, counts map[string]int) (DutyResult, error)
}

// Scaler requests upstreams of a service from the platform, on behalf of the whole deployment.
type Scaler interface {
	// Scale requests the number of upstreams in an order. The error says why the result is not DutyDone.
	Scale(ctx context.Context, holder string, fence uint64, service string, o scaling.Order) (DutyResult, error)
}

// DutyResult is the result of a call of Duties or Scaler.
type DutyResult string

// Results of a call of Duties or Scaler.
const (
	DutyDone    DutyResult = "done"
	DutyRefused DutyResult = "refused" // permanently
	DutyRetry   DutyResult = "again"   // to be repeated: not done, or not known to be done
)

// Config holds the settings and dependencies of an entry process.
type Config struct {
	Settings  *settings.Entry
	Upstreams UpstreamFeed
	Configs   ConfigFeed
	Dialect   exchange.Dialect
	Engines   Engines
	Duties    Duties                          // nil: usage isn't reported
	Scaler    Scaler                          // nil: the platform is asked for no upstreams
	Records   platform.Store                  // the system's own objects
	Watcher   RecordWatcher                   // of the same objects
	PingStore func(ctx context.Context) error // a cheap call to the platform's store, to see whether it answers
	Era       func() uint64                   // newest era of the store in any response; nil: it is never restored from a copy
	ReadyPath string                          // of the load balancer's readiness check
	Reload    func() (*settings.Entry, error) // reads the settings again; nil: they don't change
}
