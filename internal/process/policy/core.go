package policy

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// Core decides role changes. It is not safe for concurrent use.
type Core struct {
	cfg Config
}

// New makes a core that has seen no demand.
func New(cfg Config) *Core {
	return &Core{cfg: cfg}
}

// Observe takes in the demand that one gateway admitted or refused since its
// previous report.
func (c *Core) Observe(now time.Time, origin string, rows []peer.DemandRow) {
	_, _, _ = now, origin, rows
}

// Decide weighs the roles of every model, one decision each, by model name. Call
// it about once a second, and at once after a crash or withdrawal. The caller
// makes the changes: drain, order, read back.
func (c *Core) Decide(now time.Time, in Input) []Decision {
	_, _ = now, in
	return nil
}

// Explain finds a kept decision by its ID.
func (c *Core) Explain(id string) (Decision, bool) {
	_ = id
	return Decision{}, false
}
