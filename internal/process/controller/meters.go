package controller

import "github.com/uber-go/tally/v4"

// meters holds the metrics of a controller.
type meters struct {
	scope        tally.Scope
	version      tally.Gauge // version of the configuration in force at this process
	leasesHeld   tally.Gauge // zones where this process may send orders
	leaseChanges tally.Counter
	ordersSent   tally.Counter
	ordersBroken tally.Counter
	storeCalls   tally.Counter
	storeErrors  tally.Counter
	enginePolls  tally.Counter
	pollErrors   tally.Counter
}

func newMeters(s tally.Scope) *meters {
	return &meters{
		scope:        s,
		version:      s.Gauge("config_version"),
		leasesHeld:   s.Gauge("leases_held"),
		leaseChanges: s.Counter("lease_changes"),
		ordersSent:   s.Counter("orders_sent"),
		ordersBroken: s.Counter("orders_broken"),
		storeCalls:   s.Counter("store_calls"),
		storeErrors:  s.Counter("store_errors"),
		enginePolls:  s.Counter("engine_polls"),
		pollErrors:   s.Counter("engine_poll_errors"),
	}
}

// countFinished counts a finished order under its outcome.
func (m *meters) countFinished(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("orders_finished").Inc(1)
}
