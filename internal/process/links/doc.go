// Package links decides whether a request to an upstream goes over this instance's own network link or through
// another instance that reaches the upstream. It does no I/O.
//
// Whether a link works is a property of a pair of this instance and an upstream. A failure to connect may mean that
// the link is down or that the upstream is. Another instance that reaches the upstream tells the two apart: only
// then is the link at fault, and nothing is concluded about the upstream.
//
// Terms:
//
//   - A link is the network path from this instance to one upstream. It is identified by the upstream's
//     address (host:port), as the next process at that address has the same link.
//   - A relay is another instance that forwards the bytes of one connection to an upstream (package tunnel).
//   - This instance is cut off if most of the links that it used lately are down.
package links
