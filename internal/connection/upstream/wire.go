package upstream

// Paths of the HTTP form, below an engine's base URL.
const (
	PathRun         = "/v1/run"          // POST a RunRequest; answers an event stream
	PathRuns        = "/v1/runs/"        // GET {id}?from=N resumes; DELETE {id} cancels
	PathLoad        = "/v1/load"         // GET a LoadReport
	PathCacheEvents = "/v1/cache-events" // GET ?since=N, a CacheEvents
	PathOrders      = "/v1/orders"       // POST an Order; answers a State
	PathState       = "/v1/state"        // GET a State
	PathPrefill     = "/v1/prefill"      // POST a RunRequest; answers a PrefillAnswer
	PathKV          = "/v1/kv/"          // GET {handle}, between engines only
)

// Query parameters and headers of the HTTP form.
const (
	QueryFrom  = "from"
	QuerySince = "since"
	// HeaderRunID is on every answer to a run, resume or prefill and must equal
	// the run asked for: it ties an answer to its request.
	HeaderRunID = "Ragwort-Run-Id"
)

// ContentTypeStream is the content type of a stream of items.
const ContentTypeStream = "text/event-stream"

// WireItem is the data of one server-sent event. Exactly one field is set.
type WireItem struct {
	Token *Token `json:"token,omitempty"`
	End   *End   `json:"end,omitempty"`
}

// PrefillAnswer answers a prefill.
type PrefillAnswer struct {
	RunID  string `json:"run_id"`
	Handle string `json:"handle"`
}
