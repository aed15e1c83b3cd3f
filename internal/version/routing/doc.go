// Package routing is one version of the routing configuration of a deployment
// that matches requests by host name and path: its routes, services and limits,
// and the choice of a route for a request. Pure; a Config never changes after New.
package routing
