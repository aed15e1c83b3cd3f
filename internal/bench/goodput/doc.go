// Package goodput measures the request path on virtual time: the real cores of
// routing and admission at several gateways before fake engines, against a
// gateway that routes to the least outstanding requests and admits everything.
// Goodput is useful answers a second: whole and on time.
package goodput
