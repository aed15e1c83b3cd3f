// Package member tracks which daemons (gateways and controllers) exist and which state
// they are in. It combines the platform's list of instances, which lags behind, with
// heartbeats between daemons and the state of connections. It also chooses the daemons
// to which a daemon keeps connections, and relays use reports within a zone.
//
// Core, Neighbors and UseReportRoutes do no I/O. Service performs it for them.
package member
