package resource

import "github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"

// Kinds that operators write. These make up the configuration.
const (
	KindEngine        = "Engine"
	KindRunner        = "Runner"
	KindModel         = "Model"
	KindAdapter       = "Adapter"
	KindVersion       = "Version"
	KindRoute         = "Route"
	KindClientAccount = "ClientAccount"
	KindService       = "Service"
)

// KindInstance is the platform's lagging list of live and leaving instances.
const KindInstance = "Instance"

// The system's own kinds.
const (
	KindLease       = "Lease"       // one per availability zone
	KindOrderSlot   = "OrderSlot"   // one per runner
	KindClaimBucket = "ClaimBucket" // idempotency claims, grouped
	KindAudit       = "Audit"       // bounded segments of the audit trail
	KindHold        = "Hold"        // work that is sent to no upstream, named by its content
	KindStatus      = "Status"      // named "<Kind>/<name>"
)

// ConfigKinds are the kinds that make up the configuration snapshot.
var ConfigKinds = []string{
	KindEngine, KindRunner, KindModel, KindAdapter, KindVersion,
	KindRoute, KindClientAccount, KindService,
}

// WatchedKinds are the kinds that daemons watch and pass on to their peers.
var WatchedKinds = append([]string{KindInstance, KindDrain}, ConfigKinds...)

// Engine is a class of model engine: what it can do and its measured rates.
type Engine struct {
	ChecksFencing     bool    `json:"checksFencing"`     // refuses an order with an old fencing number
	DeduplicatesRuns  bool    `json:"deduplicatesRuns"`  // a second run of the same id attaches to the first
	KVTokens          int     `json:"kvTokens"`          // KV cache memory, tokens
	PrefillRate       float64 `json:"prefillRate"`       // prompt tokens a second
	DecodeRate        float64 `json:"decodeRate"`        // output tokens a second, full batch
	StreamRate        float64 `json:"streamRate"`        // output tokens a second of a lone stream
	MaxBatch          int     `json:"maxBatch"`          // streams decoded together
	RoleChangeSeconds float64 `json:"roleChangeSeconds"` // an engine is away this long for a role change
	LoadSeconds       float64 `json:"loadSeconds"`       // loading a model's weights
	KVTransferRate    float64 `json:"kvTransferRate"`    // prompt tokens of KV cache a second between engines
}

// RunnerState is what an operator wants of a runner.
type RunnerState string

// The desired states of a runner.
const (
	RunnerServing   RunnerState = "serving"
	RunnerDrained   RunnerState = "drained"   // no work, stays loaded
	RunnerWithdrawn RunnerState = "withdrawn" // no work, leaves for good
)

// RoleAuto lets the role policy choose the role.
const RoleAuto = "auto"

// Runner is one upstream that runs a model engine.
type Runner struct {
	Engine   string      `json:"engine"`             // name of an Engine
	Address  string      `json:"address"`            // base URL
	Zone     string      `json:"zone"`               // availability zone
	Model    string      `json:"model"`              // name of the Model it should hold
	Versions []string    `json:"versions,omitempty"` // names of Versions it should hold; empty: those that routes weigh
	Adapters []string    `json:"adapters,omitempty"` // names of Adapters it should hold
	Role     string      `json:"role"`               // auto, prefill, decode or both
	State    RunnerState `json:"state"`
}

// Model is a model that callers ask for by name.
type Model struct {
	ContextTokens int     `json:"contextTokens"`
	WeightsGB     float64 `json:"weightsGB"`
	MinPrefill    int     `json:"minPrefill"` // floor of runners that can prefill
	MinDecode     int     `json:"minDecode"`  // floor of runners that can decode
	MinServing    int     `json:"minServing"` // never fewer replicas than this through planned changes
}

// Adapter is a small addition to a model.
type Adapter struct {
	Model  string `json:"model"`
	Source string `json:"source"` // name in the weight store
}

// Version is one set of weights of a model.
type Version struct {
	Model  string `json:"model"`
	Source string `json:"source"` // name in the weight store
}

// OnTime is when an answer counts as useful. Zero fields do not bind.
type OnTime struct {
	FirstTokenMS int `json:"firstTokenMS,omitempty"`
	BetweenMS    int `json:"betweenMS,omitempty"` // mean gap between tokens of the answer
	WholeMS      int `json:"wholeMS,omitempty"`
}

// VersionWeight is the share of a route's requests that go to a version.
type VersionWeight struct {
	Version string `json:"version"`
	Weight  int    `json:"weight"`
}

// MethodRule says how calls of one method (HTTP method) of a plain service may be treated.
type MethodRule struct {
	Method     string `json:"method"`
	Idempotent bool   `json:"idempotent"`
}

// Route is routing intent: which requests go where and when they are on time.
// A route has either a Model or a Service.
type Route struct {
	Host        string          `json:"host,omitempty"`       // match: host name, for services
	PathPrefix  string          `json:"pathPrefix,omitempty"` // match: path prefix, for services
	Model       string          `json:"model,omitempty"`      // serves requests whose model is this route's name
	Adapter     string          `json:"adapter,omitempty"`
	Service     string          `json:"service,omitempty"`
	Weights     []VersionWeight `json:"weights,omitempty"`
	OnTime      OnTime          `json:"onTime"`
	Priority    int             `json:"priority"`              // 0 to 9, higher first; a caller may lower it
	Idempotent  bool            `json:"idempotent"`            // may run twice with no harm
	Methods     []MethodRule    `json:"methods,omitempty"`     // for services; unlisted methods are not idempotent
	ExpectedOut int             `json:"expectedOut,omitempty"` // first guess of output tokens, then learned
	MaxTokens   int             `json:"maxTokens,omitempty"`   // cap on output tokens
}

// ClientAccount is one client of the system.
type ClientAccount struct {
	KeyHashes      []string `json:"keyHashes"`      // hex SHA-256 of each API key
	RequestsPerSec float64  `json:"requestsPerSec"` // over all gateways; 0: no limit
	Burst          int      `json:"burst"`          // requests
	TokensInFlight int      `json:"tokensInFlight"` // prompt plus expected output over all gateways; 0: no limit
	MaxPriority    int      `json:"maxPriority"`
	Routes         []string `json:"routes,omitempty"` // empty: all
}

// ServiceUpstream is one upstream of a plain service.
type ServiceUpstream struct {
	Name    string      `json:"name"`
	Address string      `json:"address"` // base URL
	Zone    string      `json:"zone"`
	State   RunnerState `json:"state"`
}

// Service is a plain service beside the engines.
type Service struct {
	Upstreams  []ServiceUpstream `json:"upstreams"`
	HonoursKey bool              `json:"honoursKey"` // deduplicates by Idempotency-Key itself
}

// InstanceState is what the platform says of an instance.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// The roles of an instance in the platform's list.
const (
	RoleGateway    = "gateway"
	RoleController = "controller"
	RoleUpstream   = "upstream"
)

// Instance is one entry of the platform's list. Upstream instances are named as
// the runner or service upstream that they carry; entry instances as the
// settings of their daemon name them.
type Instance struct {
	Role        string        `json:"role"` // gateway, controller or upstream
	Zone        string        `json:"zone"`
	PeerAddress string        `json:"peerAddress,omitempty"` // host:port for peer connections; empty for upstreams
	State       InstanceState `json:"state"`
}

// Lease is the authority over the engines of one availability zone.
type Lease struct {
	Holder string `json:"holder"` // instance name; empty: released
	Epoch  uint64 `json:"epoch"`  // the fencing number; grows with every change of holder
	TTLMS  int64  `json:"ttlMS"`
}

// Hold is a time in which some work isn't sent to any upstream, as upstreams crashed under it.
type Hold struct {
	UntilMS int64 `json:"untilMS"` // Unix ms
	Times   int   `json:"times"`   // holds of this work so far
}

// SlotState is whether an order is under way.
type SlotState string

// The states of an order slot.
const (
	SlotOpen   SlotState = "open"
	SlotClosed SlotState = "closed"
)

// OrderSlot is the one place where an order to a runner is announced before it is sent.
type OrderSlot struct {
	State   SlotState      `json:"state"`
	Epoch   uint64         `json:"epoch"` // lease epoch under which it was last written
	Holder  string         `json:"holder"`
	Order   upstream.Order `json:"order"`
	Outcome string         `json:"outcome,omitempty"` // done, failed, rolled-back
	Reason  string         `json:"reason,omitempty"`
	Serial  uint64         `json:"serial"` // counts orders of this slot; part of order ids
}

// Status is what the system reports about an object.
type Status struct {
	Accepted bool   `json:"accepted"`          // the newest version is valid and in force
	Version  uint64 `json:"version"`           // version of the object that this speaks of
	InForce  uint64 `json:"inForce"`           // version in force (the last good one)
	Message  string `json:"message,omitempty"` // names the field and value if not accepted
	Phase    string `json:"phase,omitempty"`   // for runners: serving, draining, changing, drained, withdrawn, lost
	Role     string `json:"role,omitempty"`    // actual role
	Reason   string `json:"reason,omitempty"`  // why the last change was made or refused
}
