package gateway

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// call is one request of a caller to a model. It keeps the snapshot that was in force
// when it arrived, so that a configuration change doesn't affect a request in flight.
type call struct {
	id       string
	arrived  time.Time
	snapshot *config.Snapshot

	account     string
	accountSpec resource.ClientAccount
	routeName   string
	route       resource.Route
	version     string // version of the model, chosen by weight; "": any

	body          requestBody
	raw           []byte             // the body as received
	cachedContent quarantine.Content // result of content; the zero value: not computed yet
	key           string             // Idempotency-Key; "": none

	firstSend bool // the caller states that it sends the key for the first time

	priority         int
	deadline         time.Time
	explicitDeadline bool // the caller set the deadline; only then does the run end at it
	promptTokens     int  // estimated
	maxTokens        int  // limit on output tokens
	expectedOut      int  // expected number of output tokens
	prefixHashes     []uint64
}

// remaining returns the time left until the deadline; it is negative after the deadline.
func (c *call) remaining(now time.Time) time.Duration {
	return c.deadline.Sub(now)
}

// hasTimeLeft reports whether the time allows another attempt. A deadline that the caller did not
// set doesn't prevent attempts.
func (c *call) hasTimeLeft(now time.Time) bool {
	return !c.explicitDeadline || c.remaining(now) > 0
}

// reservedTokens returns the number of tokens, prompt and expected output, that count against the
// account's limit on tokens in flight.
func (c *call) reservedTokens() int {
	return c.promptTokens + c.expectedOut
}

// request returns the call's properties that routing and admission use.
func (c *call) request(zone string) route.Request {
	return route.Request{
		ID:           c.id,
		Seed:         route.SeedOf(c.id),
		Route:        c.routeName,
		Model:        c.route.Model,
		Adapter:      c.route.Adapter,
		Version:      c.version,
		Zone:         zone,
		PromptTokens: c.promptTokens,
		ExpectedOut:  c.expectedOut,
		PrefixHashes: c.prefixHashes,
		OnTime:       c.route.OnTime,
		Priority:     c.priority,
		Deadline:     c.deadline,
		Arrived:      c.arrived,
	}
}
