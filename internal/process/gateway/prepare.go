package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
)

// prepare authenticates and validates a request to a model and returns it as a call. Until it
// succeeds, the request doesn't count against its account's limits and nothing is sent.
func (g *Gateway) prepare(id string, arrived time.Time, ep endpoint, w http.ResponseWriter, r *http.Request) (*call, error) {
	s := g.snapshot()
	if s == nil {
		return nil, noConfigurationError()
	}
	c := &call{id: id, arrived: arrived, snapshot: s}
	var err error
	if c.account, c.accountSpec, err = authenticate(s, r.Header); err != nil {
		return nil, err
	}
	raw, err := readBody(w, r, c.account, g.cfg.Settings.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	c.raw = raw
	if c.body, err = parseBody(ep, raw); err != nil {
		return nil, err
	}
	if c.key, err = idempotencyKey(r.Header); err != nil {
		return nil, err
	}
	if c.firstSend, err = firstSend(r.Header, c.key); err != nil {
		return nil, err
	}
	if err := c.resolveRoute(s); err != nil {
		return nil, err
	}
	if err := c.setPriority(r.Header); err != nil {
		return nil, err
	}
	if err := c.setDeadline(r.Header, g.cfg.Settings.Limits.DefaultDeadlineMS); err != nil {
		return nil, err
	}
	if err := c.setTokens(s); err != nil {
		return nil, err
	}
	c.expectedOut = g.dispatcher.expectedOut(c.routeName, c.route.ExpectedOut, c.maxTokens)
	return c, nil
}

// noConfigurationError returns the error for requests that arrive before the first configuration.
func noConfigurationError() error {
	return errkind.New(errkind.ConfigUnavailable, errkind.NotRun, "this instance has no configuration yet").WithRetryAfter(time.Second)
}

// resolveRoute sets the route that the "model" field of the request names, and chooses a version
// of the route's model by weight. It returns an error if there is no such route or the account may
// not use it.
func (c *call) resolveRoute(s *config.Snapshot) error {
	r, ok := s.Routes[c.body.model]
	if !ok || r.Model == "" {
		return errkind.Field(errkind.NotFound, "model", "there is no model "+strconv.Quote(truncate(c.body.model)))
	}
	if !mayUse(c.accountSpec, c.body.model) {
		return errkind.Field(errkind.PermissionDenied, "model", "the client account may not use this model")
	}
	c.routeName = c.body.model
	c.route = r
	c.version = route.ChooseVersion(r.Weights, route.SeedOf(c.id))
	return nil
}

// setPriority sets the priority from the request, the route and the account. It returns an error
// if the requested priority is invalid or not allowed.
func (c *call) setPriority(h http.Header) error {
	requested, err := priorityOf(h, c.body.priority)
	if err != nil {
		return err
	}
	c.priority, err = effectivePriority(requested, c.route, c.accountSpec)
	return err
}

// setDeadline sets the deadline from the header, the body or fallbackMS, a number of milliseconds
// after the arrival.
func (c *call) setDeadline(h http.Header, fallbackMS int) error {
	c.explicitDeadline = c.body.deadline > 0 || h.Get(headerDeadline) != ""
	limit, err := deadlineOf(h, c.body.deadline, time.Duration(fallbackMS)*time.Millisecond)
	c.deadline = c.arrived.Add(limit)
	return err
}

// setTokens estimates the number of prompt tokens and sets the limit on output tokens: the lowest
// of the caller's limit, the route's limit and what the prompt leaves of the model's context. It
// returns an error if the prompt alone fills the context. 0 as ContextTokens means no limit.
func (c *call) setTokens(s *config.Snapshot) error {
	c.promptTokens = route.EstimateTokens(c.body.prompt)
	c.prefixHashes = route.PrefixHashes(c.body.prompt)
	c.maxTokens = c.body.maxTokens
	if c.maxTokens == 0 {
		c.maxTokens = defaultMaxOutput
		if c.route.MaxTokens > 0 {
			c.maxTokens = c.route.MaxTokens
		}
	}
	if c.route.MaxTokens > 0 {
		c.maxTokens = min(c.maxTokens, c.route.MaxTokens)
	}
	contextTokens := s.Models[c.route.Model].ContextTokens
	if contextTokens == 0 {
		return nil
	}
	if c.promptTokens >= contextTokens {
		return invalidField("prompt", "has about "+strconv.Itoa(c.promptTokens)+
			" tokens; the model takes "+strconv.Itoa(contextTokens))
	}
	c.maxTokens = min(c.maxTokens, contextTokens-c.promptTokens)
	return nil
}

// truncate shortens a caller's text for an error message to at most 100 bytes and "...".
func truncate(text string) string {
	const maxBytes = 100
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "..."
}
