package reconcile

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Desired is the desired state set by operators and the role policy.
type Desired struct {
	Runners        map[string]RunnerSpec // of all availability zones
	Models         map[string]resource.Model
	LoadsPerMinute float64 // this zone's share of the weight store's rate; zero: unlimited
}

// RunnerSpec is the desired state of one runner.
type RunnerSpec struct {
	Zone    string
	State   resource.RunnerState
	Leaving bool // the platform lists its instance as leaving
	Model   string
	Role    upstream.Role     // empty: keep the current role
	Loaded  []upstream.Loaded // what the engine is to hold
	// AnyVersion is set if no operator and no route requests a version. The engine then
	// keeps whatever versions of the model it holds; Loaded says what to load if it holds
	// none.
	AnyVersion bool
	Reason     string // of the role, if the role policy chose it
}

// Actual is the observed state.
type Actual struct {
	Zone    string // zone whose lease this process holds
	Epoch   uint64 // of that lease
	Now     boottime.Time
	Runners map[string]Observed // of this zone
	Drains  map[string]Drain    // of all zones
	Loads   []boottime.Time     // start times of this zone's weight loads in the last minutes
}

// Observed is the observed state of one runner.
type Observed struct {
	Reachable     bool // its state was read recently
	State         upstream.State
	Order         string         // id of the order in its open slot; empty: none
	Failed        upstream.Order // last failed order, without ID and Fence; zero: none
	FailureReason string
	RetryAt       boottime.Time // the failed order is not sent again before this time
}

// Drain is a runner's drain mark as stored: while it exists, gateways send the runner no
// new requests, because a planned change is due.
type Drain struct {
	Zone      string // zone of the lease holder that wrote the mark
	Epoch     uint64 // of that holder's lease
	Version   uint64 // of the stored mark; if two zones start draining at the same time, the lower version continues
	Confirmed bool   // every gateway that may send requests has confirmed the mark
}

// Kind is the kind of a step.
type Kind string

// Kinds of steps.
const (
	StopNewWork Kind = "stop-new-work" // write the drain mark
	WaitDrained Kind = "wait-drained"  // until gateways have confirmed the mark and running requests have ended
	SendOrder   Kind = "give-order"
	AwaitOrder  Kind = "await-order"   // an order is in progress
	Abandon     Kind = "abandon-order" // roll back an order that the engine has not started
	AllowWork   Kind = "allow-work"    // remove the drain mark
	Hold        Kind = "hold"          // a change is due but has to wait
	MarkStatus  Kind = "mark-status"   // publish Phase and Role
)

// Phase is a runner's published phase.
type Phase string

// Published phases.
const (
	PhaseServing   Phase = "serving"
	PhaseDraining  Phase = "draining"
	PhaseChanging  Phase = "changing"
	PhaseDrained   Phase = "drained"
	PhaseWithdrawn Phase = "withdrawn"
	PhaseLost      Phase = "lost"
)

// Step is one step of a plan.
type Step struct {
	Kind   Kind
	Runner string
	Order  upstream.Order // SendOrder: without ID and Fence
	Phase  Phase          // MarkStatus
	Role   upstream.Role  // MarkStatus: the actual role
	Reason string
}
