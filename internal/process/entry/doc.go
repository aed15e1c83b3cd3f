// Package entry is the process that runs on every entry instance of a deployment
// which matches requests by host name and path: it passes callers' requests to
// upstreams and gives orders to engines when it holds the authority.
//
// Every decision is made by a pure core: routing (which route), fleet (which
// upstreams exist), place (where and when a request runs), retry (whether it may be
// sent again), eventstream (what of a stream is passed on). This package does the
// I/O and joins them.
package entry
