package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Role is the phase or phases of a request that an engine performs.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill" // computes prompts, exports KV
	RoleDecode  Role = "decode"  // imports KV, generates tokens; may prefill in chunks
	RoleBoth    Role = "both"    // prefill and decode, batched together
)

// Errors of an engine. Test for them with errors.Is. A refusal that matches
// ErrStaleFence, ErrBusy, ErrRestarted or ErrUnsupported matches ErrNotRun as well.
var (
	ErrNotRun      = errors.New("not run")           // the request provably never started
	ErrUnknownRun  = errors.New("unknown run")       // the engine has no run with this ID
	ErrStaleFence  = errors.New("stale fence")       // the engine has seen a newer fencing token; the order had no effect
	ErrBusy        = errors.New("engine busy")       // another order is in progress; this one had no effect
	ErrBroken      = errors.New("connection broken") // the outcome is unknown
	ErrRestarted   = errors.New("engine restarted")  // the incarnation differs from the requested one
	ErrUnsupported = errors.New("operation unsupported")
)

// RunRequest starts a run. The gateway chooses RunID. If a run with this ID exists, an
// engine that deduplicates runs does not start another one but streams the existing one.
type RunRequest struct {
	RunID        string        `json:"run_id"`
	Incarnation  string        `json:"incarnation,omitempty"` // if set, an engine with another incarnation refuses the run
	Model        string        `json:"model"`
	Adapter      string        `json:"adapter,omitempty"`
	Version      string        `json:"version,omitempty"`
	Prompt       string        `json:"prompt"`
	PromptTokens int           `json:"prompt_tokens"` // estimated by the gateway
	MaxTokens    int           `json:"max_tokens"`
	Priority     int           `json:"priority"`                // higher goes first
	Deadline     time.Duration `json:"deadline_ns,omitempty"`   // time left when the request is sent; zero: no deadline
	KVFrom       string        `json:"kv_from,omitempty"`       // address of the engine to import the prompt's KV cache from
	KVHandle     string        `json:"kv_handle,omitempty"`     // handle that Prefill returned for that engine
	PrefixHashes []uint64      `json:"prefix_hashes,omitempty"` // chained block hashes of the prompt
}

// Token is one piece of generated text.
type Token struct {
	RunID string `json:"run_id"`
	Index int    `json:"index"` // position in the answer; counts from 0 without gaps
	Text  string `json:"text"`
}

// End is the last item of a stream. Tokens is the number of tokens in the whole answer.
type End struct {
	RunID  string `json:"run_id"`
	Tokens int    `json:"tokens"`
	Reason string `json:"reason"` // stop, length, canceled
}

// Item is one element of a stream: exactly one of Token and End is set.
type Item struct {
	Token *Token
	End   *End
}

// Stream delivers the items of a run.
type Stream interface {
	// Recv waits for the next item. It returns an error that matches ErrBroken if the
	// stream breaks before its End.
	Recv(ctx context.Context) (Item, error)
	// Close releases the resources of the stream. It does not cancel the run.
	Close()
}

// LoadReport is the load that an engine reports. It lags by some seconds.
type LoadReport struct {
	Runner         string        `json:"runner"`
	Incarnation    string        `json:"incarnation"` // changes when the engine restarts
	At             time.Time     `json:"at"`          // when the load was measured, by the engine's clock
	Age            time.Duration `json:"age_ns"`      // age of the values when the report was sent, by the engine's clock
	QueuedRequests int           `json:"queued_requests"`
	QueuedPrefill  int           `json:"queued_prefill_tokens"`
	Running        int           `json:"running"` // number of streams in decode
	KVUsedTokens   int           `json:"kv_used_tokens"`
	KVTotalTokens  int           `json:"kv_total_tokens"`
	PrefillRate    float64       `json:"prefill_tokens_per_s"` // measured
	DecodeRate     float64       `json:"decode_tokens_per_s"`  // measured, of all streams together
	Leaving        bool          `json:"leaving"`
}

// CacheEvent records that a prefix block was added to or removed from the engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // grows by one with each event; a gap means that events were lost
	Block    uint64 `json:"block"`    // chained hash of the prefix block
	Removed  bool   `json:"removed"`
}

// CacheEvents is a batch of cache events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Next        uint64       `json:"next"`   // sequence to request next
	Resync      bool         `json:"resync"` // the engine no longer has the requested sequence; Events lists the whole content of the cache
	Events      []CacheEvent `json:"events"`
}

// OrderAction is the change that an order requests.
type OrderAction string

// The order actions.
const (
	SetRole       OrderAction = "set-role"
	LoadModel     OrderAction = "load-model" // needs Model and Version
	UnloadModel   OrderAction = "unload-model"
	LoadAdapter   OrderAction = "load-adapter"
	UnloadAdapter OrderAction = "unload-adapter"
)

// Order tells an engine to change its role, models or adapters. An engine carries out an
// order once, even if it receives the order again under the same ID.
type Order struct {
	ID      string      `json:"id"`
	Fence   uint64      `json:"fence"` // fencing token: epoch of the lease under which the order is sent
	Action  OrderAction `json:"action"`
	Role    Role        `json:"role,omitempty"`
	Model   string      `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
}

// OrderStatus is the progress of an order.
type OrderStatus string

// The states of an order at an engine.
const (
	OrderNone    OrderStatus = ""        // the engine has no order
	OrderRunning OrderStatus = "running" // in progress; the engine serves no requests
	OrderDone    OrderStatus = "done"
	OrderFailed  OrderStatus = "failed"
)

// Loaded is a model version that an engine has loaded, with its adapters.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// State is the current state of an engine. Unlike a LoadReport it does not lag.
type State struct {
	Runner      string      `json:"runner"`
	Incarnation string      `json:"incarnation"`
	Role        Role        `json:"role"`
	Loaded      []Loaded    `json:"loaded"`
	Fence       uint64      `json:"fence"`    // highest fencing token seen; zero: an engine that ignores fencing tokens
	OrderID     string      `json:"order_id"` // last order that this incarnation accepted
	OrderStatus OrderStatus `json:"order_status"`
	Streams     int         `json:"streams"` // requests queued or running
	Leaving     bool        `json:"leaving"`
}

// Engine is the client of one model engine.
type Engine interface {
	// Run starts a run and streams it from token 0. If the run exists already, it may
	// stream that one (see RunRequest).
	Run(ctx context.Context, r RunRequest) (Stream, error)
	// Resume streams an existing run, beginning with the token whose index is from. It
	// returns an error that matches ErrUnknownRun if the engine has no such run.
	Resume(ctx context.Context, runID string, from int) (Stream, error)
	// Cancel ends a run. If the engine has no such run, Cancel returns nil.
	Cancel(ctx context.Context, runID string) error
	// Load returns the engine's latest load report, which lags (see LoadReport).
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the cache events whose sequence is since or greater.
	CacheEvents(ctx context.Context, since uint64) (CacheEvents, error)
	// Order sends an order and returns once the engine has accepted or refused it.
	Order(ctx context.Context, o Order) (State, error)
	// State returns the current state.
	State(ctx context.Context) (State, error)
	// Prefill computes the KV cache of a prompt and keeps it for another engine to
	// import (RunRequest.KVFrom and KVHandle). KV data never passes through a gateway.
	Prefill(ctx context.Context, r RunRequest) (handle string, err error)
}
