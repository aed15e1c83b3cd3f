package resource

import "github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"

// Kinds of the objects that operators write.
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

// KindInstance is the kind of the entries in the platform's list of live and leaving
// instances. The list lags behind the true state of the instances.
const KindInstance = "Instance"

// Kinds of the objects that the system itself writes. KindDrain is another one.
const (
	KindLease        = "Lease"        // one for each availability zone
	KindOrderSlot    = "OrderSlot"    // one for each runner
	KindClaimBucket  = "ClaimBucket"  // a group of idempotency claims
	KindAudit        = "Audit"        // a segment of the audit trail, of bounded size
	KindHold         = "Hold"         // work that is not sent to any upstream; named by the content of the work
	KindOriginRecord = "OriginRecord" // where streams may have begun, see package origins; there is one
	KindStatus       = "Status"       // status of another object; named "<Kind>/<name>" after this object
)

// ConfigKinds are the kinds that operators write.
var ConfigKinds = []string{
	KindEngine, KindRunner, KindModel, KindAdapter, KindVersion,
	KindRoute, KindClientAccount, KindService,
}

// WatchedKinds are the kinds that make up the configuration: ConfigKinds, instances and
// drains. Daemons watch them and send their changes on to peers.
var WatchedKinds = append([]string{KindInstance, KindDrain}, ConfigKinds...)

// Engine is the spec of KindEngine: the capabilities and rates of a class of model engines.
type Engine struct {
	ChecksFencing     bool    `json:"checksFencing"`     // refuses an order with an old fencing token
	DeduplicatesRuns  bool    `json:"deduplicatesRuns"`  // a second run with the same ID attaches to the first
	KVTokens          int     `json:"kvTokens"`          // size of the KV cache, in tokens
	PrefillRate       float64 `json:"prefillRate"`       // prompt tokens per second
	DecodeRate        float64 `json:"decodeRate"`        // output tokens per second of a full batch, all its streams together
	StreamRate        float64 `json:"streamRate"`        // output tokens per second of a single stream
	MaxBatch          int     `json:"maxBatch"`          // streams decoded in one batch
	RoleChangeSeconds float64 `json:"roleChangeSeconds"` // how long an engine is unavailable while it changes its role
	LoadSeconds       float64 `json:"loadSeconds"`       // how long loading a model's weights takes
	KVTransferRate    float64 `json:"kvTransferRate"`    // prompt tokens per second whose KV cache one engine can transfer to another
}

// RunnerState is the state that an operator wants a runner to be in.
type RunnerState string

// The desired states of a runner.
const (
	RunnerServing   RunnerState = "serving"
	RunnerDrained   RunnerState = "drained"   // gets no new work; its models stay loaded
	RunnerWithdrawn RunnerState = "withdrawn" // gets no new work; it is removed permanently
)

// RoleAuto is the value of Runner.Role that lets the role policy choose the role.
const RoleAuto = "auto"

// Runner is one upstream that runs a model engine.
type Runner struct {
	Engine   string      `json:"engine"`             // name of an Engine
	Address  string      `json:"address"`            // base URL
	Zone     string      `json:"zone"`               // availability zone
	Model    string      `json:"model"`              // name of the Model to load
	Versions []string    `json:"versions,omitempty"` // names of the Versions to load; empty: those that routes give a weight
	Adapters []string    `json:"adapters,omitempty"` // names of the Adapters to load
	Role     string      `json:"role"`               // auto, prefill, decode or both
	State    RunnerState `json:"state"`
}

// Model is a model that callers ask for by name.
type Model struct {
	ContextTokens int     `json:"contextTokens"`
	WeightsGB     float64 `json:"weightsGB"`
	MinPrefill    int     `json:"minPrefill"` // minimum number of runners that can prefill
	MinDecode     int     `json:"minDecode"`  // minimum number of runners that can decode
	MinServing    int     `json:"minServing"` // minimum number of replicas during planned changes
}

// Adapter is a small set of weights that is added to a model.
type Adapter struct {
	Model  string `json:"model"`
	Source string `json:"source"` // name of the adapter's weights in the weight store
}

// Version is one set of weights of a model.
type Version struct {
	Model  string `json:"model"`
	Source string `json:"source"` // name of the weights in the weight store
}

// OnTime holds the latency limits, in milliseconds, that an answer must meet to count as
// on time. Zero fields set no limit.
type OnTime struct {
	FirstTokenMS int `json:"firstTokenMS,omitempty"` // until the first token
	InterTokenMS int `json:"betweenMS,omitempty"`    // mean gap between tokens of the answer
	TotalMS      int `json:"wholeMS,omitempty"`      // until the end of the answer
}

// VersionWeight is the share of a route's requests that goes to a version, relative to the
// weights of the route's other versions.
type VersionWeight struct {
	Version string `json:"version"`
	Weight  int    `json:"weight"`
}

// MethodRule says whether calls of a plain service with this HTTP method are idempotent.
type MethodRule struct {
	Method     string `json:"method"` // HTTP method
	Idempotent bool   `json:"idempotent"`
}

// Route is a routing rule: which requests it matches, where they go and when their
// answers are on time. A route has either a Model or a Service.
type Route struct {
	Host        string          `json:"host,omitempty"`       // match: host name, for services
	PathPrefix  string          `json:"pathPrefix,omitempty"` // match: path prefix, for services
	Model       string          `json:"model,omitempty"`      // name of the Model that serves requests whose model is this route's name
	Adapter     string          `json:"adapter,omitempty"`
	Service     string          `json:"service,omitempty"`
	Weights     []VersionWeight `json:"weights,omitempty"`
	OnTime      OnTime          `json:"onTime"`
	Priority    int             `json:"priority"`              // 0 to 9, higher goes first; a caller may lower it for a request
	Idempotent  bool            `json:"idempotent"`            // a request may run more than once without harm
	Methods     []MethodRule    `json:"methods,omitempty"`     // for services; unlisted methods are not idempotent
	ExpectedOut int             `json:"expectedOut,omitempty"` // initial estimate of the output tokens of an answer, replaced by observed values
	MaxTokens   int             `json:"maxTokens,omitempty"`   // maximum number of output tokens of an answer
}

// ClientAccount is one customer of the system.
type ClientAccount struct {
	KeyHashes      []string `json:"keyHashes"`        // hex SHA-256 of each API key
	RequestsPerSec float64  `json:"requestsPerSec"`   // rate limit over all gateways; 0: no limit
	Burst          int      `json:"burst"`            // burst of the rate limit, requests
	TokensInFlight int      `json:"tokensInFlight"`   // limit on prompt plus expected output tokens of unfinished requests, over all gateways; 0: no limit
	MaxPriority    int      `json:"maxPriority"`      // highest priority of the account's requests
	Routes         []string `json:"routes,omitempty"` // names of the routes that the account may use; empty: all
}

// ServiceUpstream is one upstream of a plain service.
type ServiceUpstream struct {
	Name    string      `json:"name"`
	Address string      `json:"address"` // base URL
	Zone    string      `json:"zone"`
	State   RunnerState `json:"state"`
}

// Service is a plain service.
type Service struct {
	Upstreams    []ServiceUpstream `json:"upstreams"`
	Deduplicates bool              `json:"honoursKey"` // the service itself deduplicates calls with the same Idempotency-Key
}

// InstanceState is the state of an instance in the platform's list.
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

// Instance is one entry of the platform's list. The name of an upstream instance is
// that of the runner or service upstream on it; the name of an entry instance comes
// from the settings of its daemon.
type Instance struct {
	Role        string        `json:"role"` // gateway, controller or upstream
	Zone        string        `json:"zone"`
	PeerAddress string        `json:"peerAddress,omitempty"` // host:port for peer connections; empty for upstreams
	State       InstanceState `json:"state"`
}

// Lease grants its holder the right to send orders to the engines of one availability
// zone.
type Lease struct {
	Holder string `json:"holder"` // name of the instance that holds the lease; empty: released
	Epoch  uint64 `json:"epoch"`  // fencing token; grows with every change of holder
	TTLMS  int64  `json:"ttlMS"`  // time to live, in milliseconds
}

// Hold records that some work must not be sent to any upstream until a given time, because
// upstreams crashed while they ran this work.
type Hold struct {
	UntilMS int64       `json:"untilMS"`           // end of the hold, as Unix time in milliseconds
	Times   int         `json:"times"`             // number of holds of this work so far, including this one
	Crashes []HoldCrash `json:"crashes,omitempty"` // the crashes that led to the hold; none: not known
}

// HoldCrash identifies a crash that led to a hold. Instances that know that the work was answered completely after
// the crash thus recognize a hold that is stored although it is over.
type HoldCrash struct {
	Upstream uint32 `json:"upstream"` // hash of the upstream's incarnation
	SentUS   int64  `json:"sentUS"`   // when the work was sent there, as Unix time in microseconds
	AtUS     int64  `json:"atUS"`     // when the send broke off, as Unix time in microseconds
}

// SlotState says whether an order is in progress.
type SlotState string

// The states of an order slot.
const (
	SlotOpen   SlotState = "open"   // an order is in progress
	SlotClosed SlotState = "closed" // no order is in progress
)

// OrderSlot is the object in which each order to a runner is recorded before it is sent.
// A runner has one slot, so it has at most one order in progress.
type OrderSlot struct {
	State   SlotState      `json:"state"`
	Epoch   uint64         `json:"epoch"`  // epoch of the lease under which the slot was last written
	Holder  string         `json:"holder"` // holder of this lease
	Order   upstream.Order `json:"order"`
	Outcome string         `json:"outcome,omitempty"` // done, failed, rolled-back
	Reason  string         `json:"reason,omitempty"`
	Serial  uint64         `json:"serial"` // number of the latest order; grows with each order and is part of its ID
}

// Status is the status that the system reports for an object.
type Status struct {
	Accepted bool   `json:"accepted"`          // the newest version of the object is valid and in force
	Version  uint64 `json:"version"`           // version of the object that this status is about
	InForce  uint64 `json:"inForce"`           // version of the object in force, which is its last valid one
	Message  string `json:"message,omitempty"` // if not accepted: the invalid fields and values
	Phase    string `json:"phase,omitempty"`   // for runners: serving, draining, changing, drained, withdrawn, lost
	Role     string `json:"role,omitempty"`    // for runners: actual role
	Reason   string `json:"reason,omitempty"`  // why the last change was made or refused
}
