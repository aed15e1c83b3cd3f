package upstream

// Paths of the HTTP protocol, below an engine's base URL.
const (
	PathRun         = "/v1/run"          // POST a RunRequest, returns an event stream
	PathRuns        = "/v1/runs/"        // GET {id}?from=N resumes a run, DELETE {id} cancels it
	PathLoad        = "/v1/load"         // GET returns a LoadReport
	PathCacheEvents = "/v1/cache-events" // GET ?since=N returns a CacheEvents
	PathOrders      = "/v1/orders"       // POST an Order, returns a State
	PathState       = "/v1/state"        // GET returns a State
	PathPrefill     = "/v1/prefill"      // POST a RunRequest, returns a PrefillResponse
	PathKV          = "/v1/kv/"          // GET {handle} returns KV data; used between engines only
)

// Query parameters and headers of the HTTP protocol.
const (
	QueryFrom  = "from"
	QuerySince = "since"
	// HeaderRunID is set on every response to a run, resume or prefill. It must
	// equal the requested run ID, so that the response to another request cannot be
	// taken for the response to this one.
	HeaderRunID = "Ragwort-Run-Id"
)

// ContentTypeStream is the content type of a stream of items.
const ContentTypeStream = "text/event-stream"

// WireItem is the data of one server-sent event: an Item. Exactly one field is set.
type WireItem struct {
	Token *Token `json:"token,omitempty"`
	End   *End   `json:"end,omitempty"`
}

// PrefillResponse is the body of the response to a prefill.
type PrefillResponse struct {
	RunID  string `json:"run_id"`
	Handle string `json:"handle"`
}
