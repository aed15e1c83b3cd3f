// Package member knows the daemons of the system: it joins the platform's lagging
// list with heartbeats between peers and with what connections show. Core and
// Neighbors are pure; Service does the I/O.
package member
