package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request of a route may run at upstreams.
type Kind string

// The kinds of a route.
const (
	Idempotent Kind = "idempotent"   // may run more than once
	AtMostOnce Kind = "at-most-once" // may run once for each request ID
	Streaming  Kind = "streaming"    // answered by an event stream; may run more than once only if the route is Resumable
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string // name of the service
	Weight  int    // share of the requests, relative to the weights of the route's other targets
}

// Route is one rule of the routing table. It applies to requests for a host name whose path begins with
// a prefix.
type Route struct {
	Name        string
	Host        string // compared without regard to case
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // from the arrival of the request to the end of the answer; zero: none
	Objective   time.Duration // latency objective; an answer that meets it has its full value
	MaxGap      time.Duration // longest pause between two events of an answer that is on time
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // maximum number of upstreams that one request is sent to, including the first
	Resumable   bool          // a stream may continue at another upstream after any event
	SharesState bool          // requests declare the parts of their prompt
	Anonymous   bool          // callers need no API key
	Targets     []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// HasTarget reports whether requests of the route may go to a service.
func (r *Route) HasTarget(service string) bool {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service == service
	}
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Services returns the services of the route's targets, including those of weight 0.
func (r *Route) Services() []string {
	out := make([]string, len(r.Targets))
	for i, t := range r.Targets {
		out[i] = t.Service
	}
	return out
}

// StreamedServices returns the services of the route's targets if its requests are answered by streams.
func (r *Route) StreamedServices() []string {
	if r.Kind != Streaming {
		return nil
	}
	return r.Services()
}

// NormalHost returns the host in the form in which hosts are compared.
func (r *Route) NormalHost() string { return strings.ToLower(r.Host) }

// Prefix returns the host and the path prefix of the requests that the route applies to.
func (r *Route) Prefix() string { return r.NormalHost() + r.PathPrefix }

// IsSplit reports whether the requests of the route go to several services.
func (r *Route) IsSplit() bool { return len(r.Targets) > 1 }

// Pick chooses one of the route's targets by weight and returns its service. The choice depends only
// on seed and the targets. If no target has a positive weight, Pick returns the service of the first
// one; without targets it returns an empty string.
func (r *Route) Pick(seed string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	remaining := int(xxhash.Sum64String(seed) % uint64(total))
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int           // number of requests that an engine runs in one batch
	KVTokens    int           // size of an engine's KV cache, in tokens
	HandleLife  time.Duration // how long an engine keeps the KV cache of a prefilled prompt for the decode
	RoleSwitch  time.Duration // how long an engine is unavailable while it changes its role
	EventStride int           // output tokens in each event of a stream
}

// Scaling is the configuration for ordering further upstreams of a service from the platform.
type Scaling struct {
	Min, Max       int           // upstreams in an availability zone, lasting and revocable ones together
	Boot           time.Duration // from an order until the new upstream serves
	RevocablePrice float64       // price of a revocable upstream as a fraction of the price of a lasting one
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string   // URL path of the upstreams' health check
	MaxConnections int      // connections that each upstream accepts from all callers together
	Engine         *Engine  // nil: a plain service
	Scaling        *Scaling // nil: its upstreams can't be ordered
}

// Limits are limits on what a caller may send. Zero fields set no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is made by New and must not be changed after that.
type Config struct {
	Version      uint64
	Routes       []Route
	Services     map[string]Service // by name
	Limits       Limits
	routesByHost map[string][]int // indices into Routes by lower-case host name, longest path prefix first
	accounts     []Account
	accountByKey map[KeyDigest]*Account // nil: callers need no keys
}

// HasRoute reports whether the configuration has a route with this name.
func (c *Config) HasRoute(name string) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Name == name })
}

// New returns a version of the configuration with its routes and accounts indexed. Without accounts
// callers need no API key.
func New(version uint64, routes []Route, services []Service, limits Limits, accounts ...Account) *Config {
	c := &Config{
		Version: version, Routes: routes, Limits: limits,
		Services:     make(map[string]Service, len(services)),
		routesByHost: make(map[string][]int),
		accounts:     accounts,
		accountByKey: indexAccountsByKey(accounts),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i, r := range routes {
		host := r.NormalHost()
		c.routesByHost[host] = append(c.routesByHost[host], i)
	}
	for _, indices := range c.routesByHost {
		slices.SortStableFunc(indices, func(a, b int) int {
			return cmp.Compare(len(routes[b].PathPrefix), len(routes[a].PathPrefix))
		})
	}
	return c
}

// Match returns the route of a request: of the routes for its host name, the one with the longest
// path prefix that matches. A port in host is ignored. The result is false if no route matches.
func (c *Config) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, i := range c.routesByHost[host] {
		if strings.HasPrefix(path, c.Routes[i].PathPrefix) {
			return &c.Routes[i], true
		}
	}
	return nil, false
}
