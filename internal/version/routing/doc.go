// Package routing holds the routing configuration of a deployment that matches requests by host name
// and path. A Config is one version of it, with the routing table, the services, the limits and the
// client accounts, and is immutable after New. The package does no I/O.
package routing
