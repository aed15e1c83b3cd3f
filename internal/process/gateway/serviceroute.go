package gateway

import (
	"net"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// serviceRoute returns the name and specification of the route to a plain service for a host and path, or
// false if there is none. Among the routes that match, one that names the host takes precedence over one that
// doesn't, then the longest path prefix wins, then the lowest name.
func serviceRoute(s *config.Snapshot, host, path string) (string, resource.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	bestName, best, found := "", resource.Route{}, false
	for name, r := range s.Routes {
		if r.Service == "" || !matchesRoute(r, host, path) {
			continue
		}
		if !found || moreSpecific(r, best) || (!moreSpecific(best, r) && name < bestName) {
			bestName, best, found = name, r, true
		}
	}
	return bestName, best, found
}

// routeByHost is middleware that passes every request for a host that a route assigns to a plain service to
// handleService, including requests for paths of the models API.
func (g *Gateway) routeByHost(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s := g.snapshot()
		if s == nil {
			return next(c)
		}
		if _, r, ok := serviceRoute(s, c.Request().Host, c.Request().URL.Path); ok && r.Host != "" {
			return g.handleService(c)
		}
		return next(c)
	}
}

// matchesRoute reports whether a route's host, if it names one, and path prefix match a request. The prefix
// matches whole path segments only.
func matchesRoute(r resource.Route, host, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || prefix == "" || path[len(prefix)] == '/')
}

// moreSpecific reports whether r takes precedence over other: it names a host and other doesn't, or both or
// neither do and its prefix is longer.
func moreSpecific(r, other resource.Route) bool {
	if (r.Host != "") != (other.Host != "") {
		return r.Host != ""
	}
	return len(r.PathPrefix) > len(other.PathPrefix)
}

// idempotentMethod reports whether the route declares an HTTP method idempotent. Methods that the route
// doesn't list are not idempotent.
func idempotentMethod(r resource.Route, method string) bool {
	for _, rule := range r.Methods {
		if strings.EqualFold(rule.Method, method) {
			return rule.Idempotent
		}
	}
	return false
}
