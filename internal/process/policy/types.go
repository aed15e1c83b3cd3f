package policy

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Config is the policy's settings. See Defaults.
type Config struct {
	Origin          string        // instance name; begins the ids of decisions
	RoleChangePrice float64       // useful answers that a change must gain beyond its losses
	Horizon         time.Duration // how far ahead gains and losses are counted
	Without         Levers        // parts taken out, for measurements only
}

// Defaults gives the settings that measurement chose, see
// docs/decisions/013-role-policy.md.
func Defaults() Config {
	return Config{RoleChangePrice: DefaultPrice, Horizon: DefaultHorizon}
}

// The defaults of Config.
const (
	DefaultPrice   = 5.0 // useful answers
	DefaultHorizon = 2 * time.Minute
)

// Levers are the parts of the policy that a measurement can take out.
type Levers struct {
	Uncertainty bool // take forecasts as certain and the model as exact
	Persistence bool // take every swing as lasting
	Reversals   bool // do not make it dearer to turn back
	Price       bool // a change costs only what it loses
	Loss        bool // take a change as free of loss
	Slack       bool // take decode engines as unable to compute prompts
}

// Phase is what a runner is doing.
type Phase string

// The phases of a runner.
const (
	PhaseServing   Phase = "serving"
	PhaseDraining  Phase = "draining"  // before a change; comes back
	PhaseChanging  Phase = "changing"  // away for an order; comes back
	PhaseDrained   Phase = "drained"   // by an operator
	PhaseWithdrawn Phase = "withdrawn" // by an operator, or leaving by itself
	PhaseLost      Phase = "lost"      // crashed or unreachable
)

// Runner is the actual state of one runner as the controller knows it now.
type Runner struct {
	Name    string
	Zone    string
	Model   string
	Class   resource.Engine
	Role    upstream.Role // actual; while draining or changing, the one to come
	Auto    bool          // the policy may change the role
	Phase   Phase
	BackIn  time.Duration // when lost: expected time until it is back; zero: not known
	Streams int           // requests queued or running
}

// Input is everything that a decision looks at beside the observed demand.
type Input struct {
	Models  map[string]resource.Model
	Routes  map[string]resource.Route
	Runners []Runner
	Held    map[string]bool // zones whose lease this controller holds; nil: all
	Rank    int             // of this controller among the lease holders that it can reach; 0 acts first
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
	Change  Change
	Steps   int     // role changes weighed together, this one first: a pool in which engines do both is split as a whole
	Gain    float64 // useful answers gained over the horizon against keeping the roles
	Loss    float64 // useful answers lost in drain and change
	Price   float64 // of a role change, in useful answers
	Doubt   float64 // useful answers below which the model cannot tell options apart
	Refused string  // why it may not be made; empty: it may
}

// Net is what the option gains beyond loss, price and doubt.
func (o Option) Net() float64 { return o.Gain - o.Loss - o.Price - o.Doubt }

// Estimate is a rate with its forecast and uncertainty.
type Estimate struct {
	Fast      float64 // mean over some seconds
	Slow      float64 // mean over some minutes
	Forecast  float64 // expected mean over the horizon
	Deviation float64 // standard deviation of the rate around the forecast
	Persist   float64 // share of a swing that lasts over the horizon, learned, 0 to 1
}

// Demand is the demand of one route on a model, admitted and refused.
type Demand struct {
	Route    string   // empty: from gateways that do not tell routes apart
	Requests Estimate // a second
	Prefill  Estimate // prompt tokens a second that no cache holds
	Decode   Estimate // output tokens a second
	Late     float64  // requests a second late or refused for lack of capacity
}

// Decision is the outcome for one model, with everything that led to it.
type Decision struct {
	ID      string // for explain
	At      time.Time
	Model   string
	Demand  []Demand
	Useful  float64 // useful answers a second expected with the roles kept
	Change  *Change // nil: no change
	Options []Option
	Reason  string // one line
	Notable bool   // a change, or a refusal for another reason than before; belongs in the audit trail
}
