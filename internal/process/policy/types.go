package policy

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Config configures the policy. Defaults returns its usual values.
type Config struct {
	Origin          string        // instance name; prefix of decision IDs
	RoleChangePrice float64       // useful answers that a role change must gain beyond its losses
	Horizon         time.Duration // period over which gains and losses are counted
	Ablation        Ablation      // parts turned off, for benchmarks only
}

// Defaults returns the default settings. See docs/decisions/013-role-policy.md.
func Defaults() Config {
	return Config{RoleChangePrice: DefaultPrice, Horizon: DefaultHorizon}
}

// The defaults of Config.
const (
	DefaultPrice   = 5.0 // useful answers
	DefaultHorizon = 2 * time.Minute
)

// Ablation selects parts of the policy to turn off, to measure what each contributes. A field that is
// true turns off the part that it names.
type Ablation struct {
	Uncertainty    bool // treat forecasts as certain and the capacity model as exact
	Persistence    bool // treat every swing of the demand as lasting
	Reversals      bool // don't raise price and doubt of a change for earlier reversals
	Price          bool // treat a change as having no price beyond its loss
	Loss           bool // treat a change as losing no answers
	DecoderPrefill bool // assume that decode engines can't compute prompts
}

// Phase is the operational state of a runner.
type Phase string

// The phases of a runner.
const (
	PhaseServing   Phase = "serving"
	PhaseDraining  Phase = "draining"  // before a change; will serve again
	PhaseChanging  Phase = "changing"  // executing an order; will serve again
	PhaseDrained   Phase = "drained"   // by an operator
	PhaseWithdrawn Phase = "withdrawn" // by an operator, or leaving on its own
	PhaseLost      Phase = "lost"      // crashed or unreachable
)

// Runner is the state of one runner as the controller currently knows it.
type Runner struct {
	Name    string
	Zone    string
	Model   string
	Class   resource.Engine // declared rates of its class of engines
	Role    upstream.Role   // current role; the new role while draining or changing
	Auto    bool            // the policy may change the role; false: the operator has fixed it
	Phase   Phase
	BackIn  time.Duration // if lost: expected time until it is back; zero: unknown
	Streams int           // requests queued or running
}

// Input holds all inputs of a decision other than the observed demand.
type Input struct {
	Models  map[string]resource.Model // by name; a model that is missing here gets no decision
	Routes  map[string]resource.Route // by name
	Runners []Runner                  // of all models and zones
	Held    map[string]bool           // zones whose lease this controller holds; nil: all
	Rank    int                       // rank of this controller among the reachable lease holders; 0 acts first
}

// Change is one role change.
type Change struct {
	Model  string
	Runner string
	From   upstream.Role
	To     upstream.Role
}

// Option is one change with the gain and the costs that the policy expects of it.
type Option struct {
	Change  Change
	Steps   int     // number of role changes evaluated together, Change first; above 1 only where a pool of role both is split
	Gain    float64 // useful answers gained over the horizon compared with keeping the roles
	Loss    float64 // useful answers lost during drain and change
	Price   float64 // of the role changes, in useful answers
	Doubt   float64 // difference in useful answers below which the capacity model can't tell options apart
	Refused string  // why the change may not be made; empty: it may
}

// Net returns the gain of the option beyond loss, price and doubt.
func (o Option) Net() float64 { return o.Gain - o.Loss - o.Price - o.Doubt }

// Estimate describes one rate: its averages, its forecast and the uncertainty of the forecast. A swing
// is the difference between the fast and the slow average.
type Estimate struct {
	Fast      float64 // moving average, time constant fastSeconds
	Slow      float64 // moving average, time constant slowSeconds
	Forecast  float64 // expected mean over the horizon
	Deviation float64 // standard deviation of the rate around the forecast
	Persist   float64 // learned fraction of a swing that lasts, 0 to 1
}

// Demand is the demand of one route on a model, including refused requests.
type Demand struct {
	Route    string   // empty: from gateways that don't report routes
	Requests Estimate // per second
	Prefill  Estimate // uncached prompt tokens per second
	Decode   Estimate // output tokens per second
	Late     float64  // requests per second that are late or refused for lack of capacity
}

// Decision is the result for one model and the values that it was based on.
type Decision struct {
	ID         string // by which Core.Find returns it
	At         time.Time
	Model      string
	Demand     []Demand
	Useful     float64  // expected useful answers per second with the roles kept
	Change     *Change  // nil: no change
	Options    []Option // best first
	Reason     string   // one line
	NeedsAudit bool     // a change, or a new reason for not changing; recorded in the audit trail
}
