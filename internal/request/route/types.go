package route

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Request holds the properties of a request that routing depends on.
type Request struct {
	ID           string
	Seed         uint64 // of the random draws of the request; SeedOf(ID)
	Route        string
	Model        string
	Adapter      string
	Version      string // chosen by weight before routing; empty: any
	Zone         string // availability zone of this gateway
	PromptTokens int
	ExpectedOut  int
	PrefixHashes []uint64        // chained block hashes, see BlockTokens
	OnTime       resource.OnTime // the route's objective; a zero field sets no bound
	Priority     int
	Deadline     time.Time // of the whole answer; zero: none
	Arrived      time.Time
	Excluded     []string // names of runners tried before
}

// BlockTokens is the length of a prefix block in tokens.
const BlockTokens = 64

// Runner is the view of one runner at one moment. Fields marked as corrected hold the value of
// its last report, adjusted for what gateways sent after the report was measured.
type Runner struct {
	Name        string
	Zone        string
	Role        upstream.Role
	Incarnation string
	Loaded      []upstream.Loaded
	Leaving     bool // leaving, drained, withdrawn, or executing an order
	Suspected   bool // unreachable or ejected as an outlier
	Engine      resource.Engine

	ReportAge         time.Duration // time since the report's figures were taken
	QueuedPrefill     float64       // prompt tokens waiting, corrected
	Running           float64       // streams in decode, corrected
	DecodeLeft        float64       // output tokens still to generate, corrected
	KVUsed            float64       // tokens, corrected
	KVTotal           float64
	PrefillRate       float64                   // prompt tokens per second while prefilling: declared or reported, corrected by measurements
	DecodeRate        float64                   // output tokens per second of a full batch: declared or reported, corrected by measurements
	PrefillShare      float64                   // fraction of the engine's time that recent prompts take, 0 to 1
	TightestGap       time.Duration             // tightest gap between tokens that a route of the model promises; zero: none
	MirroredPeers     float64                   // number of peers assumed to send what this gateway sends, until they report
	UnreportedStreams float64                   // further streams that peers may have sent without reporting them yet; counts only in the on-time check
	UnreportedPrompt  float64                   // prompt tokens that peers may have sent without reporting them yet; counts as UnreportedStreams does
	CachedPrefix      func(hashes []uint64) int // number of leading blocks believed to be cached (a hint); nil: none
}

// Prediction holds the predicted latencies of a request at a runner.
type Prediction struct {
	FirstToken   time.Duration // until the first token
	Between      time.Duration // mean gap between tokens
	Total        time.Duration // until the end of the answer
	CachedTokens int
}

// Choice is the result of Route.
type Choice struct {
	Runner         string // decodes (or does both); empty: no runner passes the filters, see Reason
	Prefill        string // prefill runner that computes the prompt first; empty: prefill at Runner
	Predicted      Prediction
	OnTime         bool           // the request is predicted to meet its OnTime and Deadline, and TightestGap of the runner, even with the load that peers may not have reported
	EarliestOnTime time.Duration  // if not OnTime: predicted wait until a request like this could be on time; Never: not even at an idle runner
	Reason         string         // one of the Reason constants; Explain returns the scores
	Rejected       map[string]int // number of runners that each filter rejected; only if Runner is empty
}
