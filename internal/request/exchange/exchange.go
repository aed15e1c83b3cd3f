// Package exchange defines the metadata of a request and its response, besides method,
// path, status and body. Deployments carry it in different headers; a Dialect reads and
// writes those of one deployment.
package exchange

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt. Requests that share a part use the same ID for it.
type Part struct {
	ID     string
	Tokens int
}

// RequestInfo holds what a caller declares with a request.
type RequestInfo struct {
	ID             string        // id of this attempt; a caller gives each attempt its own
	TimeLeft       time.Duration // how long the caller will still wait; zero: not declared
	PromptTokens   int
	MaxOutput      int // maximum number of output tokens
	ExpectedOutput int // the caller's estimate; zero: none
	Parts          []Part
	LastEvent      string // id of the last event that the caller got of an earlier answer, to continue after; empty: from the start
	Resumes        string // ID of the caller's attempt that brought the first event of that answer; empty: not declared
}

// SharedParts returns the parts that other requests may share, which are all but the last, a
// hash of their ids as key, and the tokens of the last part as own. key and shared are zero
// if there are fewer than two parts. Without any parts, own is PromptTokens.
func (r *RequestInfo) SharedParts() (key uint64, shared []Part, own int) {
	if len(r.Parts) == 0 {
		return 0, nil, r.PromptTokens
	}
	last := len(r.Parts) - 1
	if last == 0 {
		return 0, nil, r.Parts[0].Tokens
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, p := range r.Parts[:last] {
		_, _ = digest.WriteString(p.ID) // never returns an error
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64(), r.Parts[:last], r.Parts[last].Tokens
}

// SendOptions holds what this process sets on a request that it sends to an upstream. It sets
// no priority: the queue decides on the order, and an upstream must not put back a request
// that was assigned to it in favor of another one.
type SendOptions struct {
	ExpectedIncarnation string        // the upstream refuses the request if it has another incarnation
	TimeLeft            time.Duration // time until the deadline; zero: none
	LastEvent           string        // continue after this event; empty: as the caller sent it
	PrefillOnly         bool          // compute the prompt and keep its KV cache
	KVFrom              string        // source to fetch the prompt's KV cache from; empty: none
	CopyFrom            string        // address of an engine that may have shared parts of the prompt cached; empty: none
	StripAPIKey         bool          // the caller's API key is for this system and is not passed on
	Account             string        // client account of the caller; empty: none
}

// Load is the load that an upstream reports.
type Load struct {
	Running         int
	Waiting         int
	Slots           int
	SlowdownPercent int // how long work takes there now, relative to normal; 100: normal; 0: not reported
}

// RateLimit is the number of requests per second that an upstream accepts from all instances together.
type RateLimit struct {
	PerSecond float64
	Valid     bool // false: there is a limit, but it can't be parsed
}

// Backoff is the time for which an upstream that rejected a request wants no further ones from this instance.
type Backoff struct {
	Duration time.Duration
	Valid    bool   // false: the duration can't be parsed
	Text     string // as received
}

// ResponseInfo holds what a response declares besides its status and body.
type ResponseInfo struct {
	RequestID string // id of the request that it answers
	NotRun    bool   // the upstream did not and will not run the request
	Executed  bool   // the upstream itself answered, after it ran the request
	Load      *Load  // nil: not reported
	Upstream  string // id of the upstream; empty: not reported

	RateLimit *RateLimit // of the upstream; nil: not reported
	Leaving   bool       // the upstream is leaving and must get no new work
	Backoff   *Backoff   // nil: the request was not rejected, or the upstream doesn't say when to retry
}

// PrefillResult is the result of a prefill-only request.
type PrefillResult struct {
	Handle string
	Tokens int
}

// Dialect reads and writes headers by the conventions of a deployment.
type Dialect interface {
	// RequestInfo parses what a caller declares. An error names the header and its value.
	RequestInfo(h http.Header) (RequestInfo, error)
	// Key returns the API key of a caller. ok is false if the request has none; for a key that
	// can't be parsed it returns an empty key, which is never valid.
	Key(h http.Header) (key string, ok bool)
	// Outbound returns the headers to send: the caller's, without those that only the
	// system may set, plus those for s.
	Outbound(caller http.Header, s SendOptions) http.Header
	// ResponseInfo parses the headers of a response.
	ResponseInfo(status int, h http.Header) ResponseInfo
	// ParsePrefillResult parses the response body of a prefill-only request.
	ParsePrefillResult(body []byte) (PrefillResult, error)
	// KVSource returns the value of SendOptions.KVFrom for the KV cache of a prompt that the upstream at
	// address keeps under a handle.
	KVSource(address, handle string) string
}
