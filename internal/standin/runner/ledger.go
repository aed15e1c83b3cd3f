package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Executions counts how often each run was started, over all incarnations.
type Executions struct {
	Runs  map[string]int `json:"runs"`  // by run id
	Marks map[string]int `json:"marks"` // by the marker in the prompt; see Mark
}

// OrderRecord is one order that the engine accepted.
type OrderRecord struct {
	Order       upstream.Order       `json:"order"`
	At          time.Time            `json:"at"`
	Incarnation string               `json:"incarnation"`
	Stale       bool                 `json:"stale"`   // an order with a higher fencing number had been accepted before
	Streams     int                  `json:"streams"` // runs and prefills that the order dropped
	Outcome     upstream.OrderStatus `json:"outcome"`
}

// Stats counts the work of an engine over all its incarnations.
type Stats struct {
	Accepted             int           `json:"accepted"`               // runs
	Finished             int           `json:"finished"`               // runs that ended with reason stop or length
	Canceled             int           `json:"canceled"`               // runs
	Lost                 int           `json:"lost"`                   // runs dropped by crashes
	CutByOrders          int           `json:"cut_by_orders"`          // runs dropped by orders
	AcceptedWhileLeaving int           `json:"accepted_while_leaving"` // runs and prefills
	LastWhileLeaving     time.Duration `json:"last_while_leaving_ns"`  // time from SetLeaving to the last run or prefill accepted after it
	PrefillTokens        int           `json:"prefill_tokens"`         // computed by this engine
	CachedTokens         int           `json:"cached_tokens"`          // found in the prefix cache
	OutputTokens         int           `json:"output_tokens"`
	KVImports            int           `json:"kv_imports"`
	KVImportFailures     int           `json:"kv_import_failures"`
	RoleChanges          int           `json:"role_changes"`
	UnavailableTime      time.Duration `json:"away_ns"` // sum of the durations of orders that made the engine unavailable
	Crashes              int           `json:"crashes"`
}

// ledger holds the counts and the order log, which survive crashes.
type ledger struct {
	runs, marks  map[string]int
	orders       []OrderRecord
	highestFence uint64 // highest accepted fencing number, over all incarnations
	stats        Stats
}

func newLedger() ledger {
	return ledger{runs: map[string]int{}, marks: map[string]int{}}
}

// recordStart counts one start of a run, by its id and by the marker in its prompt.
func (l *ledger) recordStart(r upstream.RunRequest) {
	l.stats.Accepted++
	l.runs[r.RunID]++
	if mark := PromptMarker(r.Prompt); mark != "" {
		l.marks[mark]++
	}
}

// Executions returns a copy of the counts.
func (r *Runner) Executions() Executions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Executions{Runs: maps.Clone(r.ledger.runs), Marks: maps.Clone(r.ledger.marks)}
}

// OrderLog returns the accepted orders, oldest first.
func (r *Runner) OrderLog() []OrderRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ledger.orders)
}

// Stats returns the counts so far.
func (r *Runner) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.stats
}
