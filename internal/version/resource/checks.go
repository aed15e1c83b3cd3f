package resource

import (
	"fmt"
	"net/url"
	"regexp"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Limits of fields, and texts that several messages share. The limits are far above useful
// values: they catch typing errors and do not restrict the size of a deployment.
// MaxPriority is the exception; it is the highest valid priority.
const (
	MaxPriority       = 9
	maxMS             = 24 * 60 * 60 * 1000
	maxTokens         = 1 << 31
	maxRate           = 1e9
	maxSeconds        = 24 * 60 * 60
	maxCount          = 1 << 20
	maxWeight         = 1 << 20
	maxWeightsGB      = 1 << 20
	mustBePositive    = "must be greater than zero"
	mustNotBeNegative = "must not be negative"
	mustNameObject    = "must name an object"
)

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func checkEngine(c *checker, e Engine) {
	c.require(e.KVTokens > 0 && e.KVTokens < maxTokens, "kvTokens", e.KVTokens, mustBePositive)
	c.require(e.PrefillRate > 0 && e.PrefillRate < maxRate, "prefillRate", e.PrefillRate, mustBePositive)
	c.require(e.DecodeRate > 0 && e.DecodeRate < maxRate, "decodeRate", e.DecodeRate, mustBePositive)
	c.require(e.StreamRate > 0 && e.StreamRate < maxRate, "streamRate", e.StreamRate, mustBePositive)
	c.require(e.MaxBatch > 0 && e.MaxBatch < maxCount, "maxBatch", e.MaxBatch, mustBePositive)
	c.require(e.RoleChangeSeconds >= 0 && e.RoleChangeSeconds <= maxSeconds, "roleChangeSeconds", e.RoleChangeSeconds, "must lie between 0 and 86400")
	c.require(e.LoadSeconds >= 0 && e.LoadSeconds <= maxSeconds, "loadSeconds", e.LoadSeconds, "must lie between 0 and 86400")
	c.require(e.KVTransferRate >= 0 && e.KVTransferRate < maxRate, "kvTransferRate", e.KVTransferRate, mustNotBeNegative)
}

func checkRunner(c *checker, r Runner) {
	c.require(r.Engine != "", "engine", r.Engine, mustNameObject)
	c.require(r.Model != "", "model", r.Model, mustNameObject)
	c.require(r.Zone != "", "zone", r.Zone, "must name an availability zone")
	c.checkURL("address", r.Address)
	c.checkState("state", r.State)
	c.require(validRole(r.Role), "role", r.Role, "must be auto, prefill, decode or both")
}

func checkModel(c *checker, m Model) {
	c.require(m.ContextTokens > 0 && m.ContextTokens < maxTokens, "contextTokens", m.ContextTokens, mustBePositive)
	c.require(m.WeightsGB >= 0 && m.WeightsGB < maxWeightsGB, "weightsGB", m.WeightsGB, mustNotBeNegative)
	c.checkCount("minPrefill", m.MinPrefill)
	c.checkCount("minDecode", m.MinDecode)
	c.checkCount("minServing", m.MinServing)
}

func checkAdapter(c *checker, a Adapter) {
	c.require(a.Model != "", "model", a.Model, mustNameObject)
	c.require(a.Source != "", "source", a.Source, "must name an entry of the weight store")
}

func checkVersion(c *checker, v Version) {
	c.require(v.Model != "", "model", v.Model, mustNameObject)
	c.require(v.Source != "", "source", v.Source, "must name an entry of the weight store")
}

func checkRoute(c *checker, r Route) {
	hasModel, hasService := r.Model != "", r.Service != ""
	c.require(hasModel != hasService, "model", r.Model, "exactly one of model and service must be set")
	if hasService {
		c.require(r.Host != "" || r.PathPrefix != "", "pathPrefix", r.PathPrefix, "a route to a service needs host or pathPrefix")
	}
	c.require(r.PathPrefix == "" || r.PathPrefix[0] == '/', "pathPrefix", r.PathPrefix, "must begin with /")
	c.require(r.Priority >= 0 && r.Priority <= MaxPriority, "priority", r.Priority, "must lie between 0 and 9")
	c.checkMS("onTime.firstTokenMS", r.OnTime.FirstTokenMS)
	c.checkMS("onTime.betweenMS", r.OnTime.InterTokenMS)
	c.checkMS("onTime.wholeMS", r.OnTime.TotalMS)
	c.require(r.ExpectedOut >= 0 && r.ExpectedOut < maxTokens, "expectedOut", r.ExpectedOut, mustNotBeNegative)
	c.require(r.MaxTokens >= 0 && r.MaxTokens < maxTokens, "maxTokens", r.MaxTokens, mustNotBeNegative)
	c.checkWeights(r.Weights)
	c.checkMethods(r.Methods)
}

// checkWeights checks the weights of a route's versions: no version may be listed twice,
// and the weights must not all be zero.
func (c *checker) checkWeights(weights []VersionWeight) {
	total := 0
	seen := make(map[string]bool, len(weights))
	for i, w := range weights {
		field := fmt.Sprintf("weights[%d]", i)
		c.require(w.Version != "", field+".version", w.Version, mustNameObject)
		c.require(!seen[w.Version], field+".version", w.Version, "must not stand twice")
		c.require(w.Weight >= 0 && w.Weight <= maxWeight, field+".weight", w.Weight, "must lie between 0 and 1048576")
		seen[w.Version] = true
		total += w.Weight
	}
	c.require(len(weights) == 0 || total > 0, "weights", total, "at least one weight must be greater than zero")
}

func (c *checker) checkMethods(methods []MethodRule) {
	for i, m := range methods {
		c.require(m.Method != "", fmt.Sprintf("methods[%d].method", i), m.Method, "must name an HTTP method")
	}
}

// checkClientAccount checks a client account. Its messages never show the value of a key
// hash, because an operator may have pasted an API key in its place.
func checkClientAccount(c *checker, a ClientAccount) {
	c.require(len(a.KeyHashes) > 0, "keyHashes", len(a.KeyHashes), "must hold at least one hash")
	for i, h := range a.KeyHashes {
		c.require(keyHashPattern.MatchString(h), fmt.Sprintf("keyHashes[%d]", i), fmt.Sprintf("%d characters", len(h)), "must be a SHA-256 in 64 lower-case hex digits")
	}
	c.require(a.RequestsPerSec >= 0 && a.RequestsPerSec < maxRate, "requestsPerSec", a.RequestsPerSec, mustNotBeNegative)
	c.checkCount("burst", a.Burst)
	c.require(a.TokensInFlight >= 0 && a.TokensInFlight < maxTokens, "tokensInFlight", a.TokensInFlight, mustNotBeNegative)
	c.require(a.MaxPriority >= 0 && a.MaxPriority <= MaxPriority, "maxPriority", a.MaxPriority, "must lie between 0 and 9")
}

func checkService(c *checker, s Service) {
	c.require(len(s.Upstreams) > 0, "upstreams", len(s.Upstreams), "must hold at least one upstream")
	seen := make(map[string]bool, len(s.Upstreams))
	for i, u := range s.Upstreams {
		field := fmt.Sprintf("upstreams[%d]", i)
		c.require(u.Name != "", field+".name", u.Name, "must be set")
		c.require(!seen[u.Name], field+".name", u.Name, "must not stand twice")
		c.require(u.Zone != "", field+".zone", u.Zone, "must name an availability zone")
		c.checkURL(field+".address", u.Address)
		c.checkState(field+".state", u.State)
		seen[u.Name] = true
	}
}

func checkInstance(c *checker, i Instance) {
	c.require(i.State == InstanceLive || i.State == InstanceLeaving, "state", string(i.State), "must be live or leaving")
	c.require(i.Role == RoleGateway || i.Role == RoleController || i.Role == RoleUpstream, "role", i.Role, "must be gateway, controller or upstream")
	c.require(i.Zone != "", "zone", i.Zone, "must name an availability zone")
}

func (c *checker) checkURL(field, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.require(ok, field, value, "must be an http or https URL with a host")
}

func (c *checker) checkState(field string, s RunnerState) {
	ok := s == RunnerServing || s == RunnerDrained || s == RunnerWithdrawn
	c.require(ok, field, string(s), "must be serving, drained or withdrawn")
}

func (c *checker) checkMS(field string, v int) {
	c.require(v >= 0 && v <= maxMS, field, v, "must lie between 0 and 86400000")
}

func (c *checker) checkCount(field string, v int) {
	c.require(v >= 0 && v < maxCount, field, v, mustNotBeNegative)
}

// validRole reports whether role is RoleAuto or a role of an engine.
func validRole(role string) bool {
	if role == RoleAuto {
		return true
	}
	r := upstream.Role(role)
	return r == upstream.RolePrefill || r == upstream.RoleDecode || r == upstream.RoleBoth
}
