package reconcile

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Desired is what operators and the role policy want.
type Desired struct {
	Runners        map[string]Want // of all availability zones
	Models         map[string]resource.Model
	LoadsPerMinute float64 // this zone's share of the weight store's rate; zero: not limited
}

// Want is what is wanted of one runner.
type Want struct {
	Zone    string
	State   resource.RunnerState
	Leaving bool // the platform lists its instance as leaving
	Model   string
	Role    upstream.Role // empty: leave it as it is
	Loaded  []upstream.Loaded
	// AnyVersion: no operator and no route asks for a version. Whatever version of
	// the model the engine holds stays; Loaded says what to load if it holds none.
	AnyVersion bool
	Reason     string // of the role, if the role policy chose it
}

// Actual is what is there.
type Actual struct {
	Zone    string // whose lease this process holds
	Epoch   uint64
	Now     boottime.Time
	Runners map[string]Observed // of this zone
	Drains  map[string]Drain    // of all zones
	Loads   []boottime.Time     // begins of this zone's weight loads in the last minutes
}

// Observed is what was seen of one runner.
type Observed struct {
	Reachable bool // its state was read lately
	State     upstream.State
	Order     string         // id of the order in its open slot; empty: none
	Failed    upstream.Order // the order that failed last, without ID and Fence; zero: none
	FailedWhy string
	RetryAt   boottime.Time // the failed order is not given again before
}

// Drain is a runner's mark for a planned change as it stands in the store.
type Drain struct {
	Zone    string
	Epoch   uint64
	Version uint64 // of the object: of two zones that drain at once the earlier goes on
	InForce bool   // every gateway that may send work knows of it
}

// Kind is what a step does.
type Kind string

// The kinds of steps.
const (
	StopNewWork Kind = "stop-new-work" // write the drain mark
	WaitDrained Kind = "wait-drained"  // until gateways know the mark and running requests have ended
	GiveOrder   Kind = "give-order"
	AwaitOrder  Kind = "await-order"   // an order is under way
	Abandon     Kind = "abandon-order" // roll back an order that the engine has not begun
	AllowWork   Kind = "allow-work"    // remove the drain mark
	Hold        Kind = "hold"          // a change is wanted but has to wait
	MarkStatus  Kind = "mark-status"   // publish Phase and Role
)

// Phase is a runner's state as published.
type Phase string

// The phases.
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
	Order  upstream.Order // GiveOrder: without ID and Fence
	Phase  Phase          // MarkStatus
	Role   upstream.Role  // MarkStatus: the actual role
	Reason string
}
