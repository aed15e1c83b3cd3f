package policy

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Config is the policy's settings. Zero fields take the defaults.
type Config struct {
	RoleChangePrice float64       // useful answers that a change must gain beyond its losses
	Horizon         time.Duration // how far ahead gains and losses are counted
	Levers          Levers        // levers taken out, for measurements only
}

// Levers are the parts of the policy that a measurement can take out.
type Levers struct {
	NoUncertainty bool // take the estimates as certain
	NoPrice       bool // a change costs only what it loses
	NoLoss        bool // take a change as free of loss
	NoHold        bool // no doubt of the next swing after a change
	NoSlack       bool // take decode engines as unable to compute prompts
}

// Phase is what a runner is doing.
type Phase string

// The phases of a runner.
const (
	PhaseServing   Phase = "serving"
	PhaseDraining  Phase = "draining" // before a change; comes back
	PhaseChanging  Phase = "changing" // away for an order; comes back
	PhaseDrained   Phase = "drained"  // by an operator
	PhaseWithdrawn Phase = "withdrawn"
	PhaseLost      Phase = "lost" // crashed or unreachable
)

// Runner is the actual state of one runner as the controller knows it now.
type Runner struct {
	Name    string
	Zone    string
	Model   string
	Class   resource.Engine
	Role    upstream.Role // actual, or the one that it is changing to
	Auto    bool          // the policy may change the role
	Phase   Phase
	BackIn  time.Duration // expected, if draining, changing or lost; zero: not known
	Streams int           // requests queued or running
	DrainIn time.Duration // expected time to drain; zero: worked out from Streams
}

// Input is everything that a decision looks at beside the observed demand.
type Input struct {
	Models  map[string]resource.Model
	Routes  map[string]resource.Route
	Runners []Runner
	Held    map[string]bool // zones whose lease this controller holds; nil: all
	Rank    int             // of this controller among the holders of zones that it can reach; 0 acts first
}

// Change is one role change.
type Change struct {
	Model  string
	Runner string
	From   upstream.Role
	To     upstream.Role
}

// Option is one way that was weighed.
type Option struct {
	Change  Change  // zero Runner: keep the roles
	Gain    float64 // useful answers gained over the horizon against keeping the roles
	Loss    float64 // useful answers lost in drain and change
	Price   float64 // of the change, in useful answers, with the doubt of the next swing
	Refused string  // why it may not or should not be made; empty: it may
}

// Net is what the option gains after loss and price.
func (o Option) Net() float64 { return o.Gain - o.Loss - o.Price }

// Estimate is a quantity with its uncertainty.
type Estimate struct {
	Fast      float64 // mean over some seconds
	Slow      float64 // mean over some minutes
	Deviation float64 // standard deviation of the fast mean around the slow one
}

// Demand is the demand on one model.
type Demand struct {
	Prefill  Estimate // prompt tokens a second
	Decode   Estimate // output tokens a second
	Requests Estimate // requests a second
	Late     Estimate // requests a second late or refused
}

// Decision is the outcome for one model, with everything that led to it. Seq
// grows with each decision; ID names it for explain.
type Decision struct {
	ID      string
	At      time.Time
	Model   string
	Demand  Demand
	Change  *Change  // nil: no change
	Options []Option // best first
	Reason  string   // one line
	Notable bool     // a change, or the first refusal for a new reason; for the audit trail
}
