package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Role is what an engine does with requests.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill" // computes prompts, exports KV
	RoleDecode  Role = "decode"  // imports KV, generates; may prefill in chunks
	RoleBoth    Role = "both"    // does both, batched together
)

// Errors of an engine. Test with errors.Is.
var (
	ErrNotRun      = errors.New("not run")           // provably never started
	ErrUnknownRun  = errors.New("unknown run")       // the engine knows no such run id
	ErrStaleFence  = errors.New("stale fence")       // the engine saw a newer fencing number; the order had no effect
	ErrBusy        = errors.New("engine busy")       // an order is in progress; had no effect
	ErrBroken      = errors.New("connection broken") // the outcome is not known
	ErrRestarted   = errors.New("engine restarted")  // the incarnation differs from the one asked for; not run. Also matches ErrNotRun
	ErrUnsupported = errors.New("operation unsupported")
)

// RunRequest starts a run. RunID is chosen by the gateway; an engine that
// deduplicates runs attaches to an existing run of the same id in place of
// starting a second one.
type RunRequest struct {
	RunID        string        `json:"run_id"`
	Incarnation  string        `json:"incarnation,omitempty"` // if set, refuse unless the engine's incarnation equals it
	Model        string        `json:"model"`
	Adapter      string        `json:"adapter,omitempty"`
	Version      string        `json:"version,omitempty"`
	Prompt       string        `json:"prompt"`
	PromptTokens int           `json:"prompt_tokens"` // the gateway's estimate
	MaxTokens    int           `json:"max_tokens"`
	Priority     int           `json:"priority"`                // higher goes first
	Deadline     time.Duration `json:"deadline_ns,omitempty"`   // time left at sending; zero: none
	KVFrom       string        `json:"kv_from,omitempty"`       // address of the engine to import the prompt's KV cache from
	KVHandle     string        `json:"kv_handle,omitempty"`     // handle returned by Prefill there
	PrefixHashes []uint64      `json:"prefix_hashes,omitempty"` // chained block hashes of the prompt
}

// Token is one piece of a stream. Index counts from 0 without gaps.
type Token struct {
	RunID string `json:"run_id"`
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// End closes a stream. Tokens is the number of tokens of the whole answer.
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

// Stream delivers the items of a run. Recv returns an error that matches
// ErrBroken when the stream breaks before its End.
type Stream interface {
	Recv(ctx context.Context) (Item, error)
	Close()
}

// LoadReport is what an engine says of its load, late by some seconds.
type LoadReport struct {
	Runner         string        `json:"runner"`
	Incarnation    string        `json:"incarnation"` // changes when the engine restarts
	At             time.Time     `json:"at"`          // the engine's clock at the time of measuring
	Age            time.Duration `json:"age_ns"`      // age of the figures when sent, by the engine's clock
	QueuedRequests int           `json:"queued_requests"`
	QueuedPrefill  int           `json:"queued_prefill_tokens"`
	Running        int           `json:"running"` // streams in decode
	KVUsedTokens   int           `json:"kv_used_tokens"`
	KVTotalTokens  int           `json:"kv_total_tokens"`
	PrefillRate    float64       `json:"prefill_tokens_per_s"` // measured
	DecodeRate     float64       `json:"decode_tokens_per_s"`  // measured, all streams together
	Leaving        bool          `json:"leaving"`
}

// CacheEvent tells that a prefix block entered or left the engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // by one for each event; a jump is a gap
	Block    uint64 `json:"block"`    // chained hash of the prefix block
	Removed  bool   `json:"removed"`
}

// CacheEvents is a batch. Resync is true when the engine no longer has the
// sequence asked for; then Events lists the whole content.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Next        uint64       `json:"next"` // the sequence to ask for next time
	Resync      bool         `json:"resync"`
	Events      []CacheEvent `json:"events"`
}

// OrderAction is what an order asks of an engine.
type OrderAction string

// The order actions.
const (
	SetRole       OrderAction = "set-role"
	LoadModel     OrderAction = "load-model" // model, version
	UnloadModel   OrderAction = "unload-model"
	LoadAdapter   OrderAction = "load-adapter"
	UnloadAdapter OrderAction = "unload-adapter"
)

// Order is one order to an engine. Orders are idempotent by ID.
type Order struct {
	ID      string      `json:"id"`
	Fence   uint64      `json:"fence"` // epoch of the lease under which it is sent
	Action  OrderAction `json:"action"`
	Role    Role        `json:"role,omitempty"`
	Model   string      `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
}

// OrderStatus is how far an order is.
type OrderStatus string

// The states of an order at an engine.
const (
	OrderNone    OrderStatus = ""        // the engine holds no order
	OrderRunning OrderStatus = "running" // in progress; the engine is away
	OrderDone    OrderStatus = "done"
	OrderFailed  OrderStatus = "failed"
)

// Loaded is one model version in an engine with its adapters.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// State is the actual state of an engine, read back and not lagging.
type State struct {
	Runner      string      `json:"runner"`
	Incarnation string      `json:"incarnation"`
	Role        Role        `json:"role"`
	Loaded      []Loaded    `json:"loaded"`
	Fence       uint64      `json:"fence"`    // highest seen; zero for an engine that ignores fencing
	OrderID     string      `json:"order_id"` // the last order accepted by this incarnation
	OrderStatus OrderStatus `json:"order_status"`
	Streams     int         `json:"streams"` // requests queued or running
	Leaving     bool        `json:"leaving"`
}

// Engine is one model engine.
type Engine interface {
	// Run starts a run (or attaches, see RunRequest) and streams it from token 0.
	Run(ctx context.Context, r RunRequest) (Stream, error)
	// Resume streams an existing run from token from on; ErrUnknownRun if there is none.
	Resume(ctx context.Context, runID string, from int) (Stream, error)
	// Cancel ends a run. Canceling an unknown run is no error.
	Cancel(ctx context.Context, runID string) error
	// Load reads the (lagging) load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents reads cache events from a sequence on.
	CacheEvents(ctx context.Context, since uint64) (CacheEvents, error)
	// Order gives an order; it returns when the engine has accepted or refused it.
	Order(ctx context.Context, o Order) (State, error)
	// State reads the actual state.
	State(ctx context.Context) (State, error)
	// Prefill computes a prompt's KV cache and keeps it for another engine to
	// import (RunRequest.KVFrom and KVHandle). KV bytes never pass a gateway.
	Prefill(ctx context.Context, r RunRequest) (handle string, err error)
}
