// Package holds keeps poison requests (requests that crash the upstreams that run them) away from
// upstreams, for one process. Package quarantine decides which requests are held. This package
// stores the holds on the platform, applies those that other instances stored there, and exchanges
// crashes with other instances.
//
// Terms:
//
//   - Work is what a request asks for, whatever its request id. A hash, its content, identifies it.
//   - A part of a prompt that requests share has a content of its own. If it is held, all requests
//     with the part are.
//   - A hold is a period in which no instance sends requests for some work to any upstream.
//   - A suspect is work that has crashed upstreams or was held before.
//   - A broken send is a request to an upstream whose response broke off before it was complete.
//   - An incarnation is one run of an upstream's process, from its start to its end.
//   - A liveness connection is a second connection to an upstream, which is opened before a
//     request is sent there and carries no request itself. When a process exits, all of its
//     connections end. So if the liveness connection ends at about the time at which a response
//     broke off, the process has exited, and the request may have crashed it.
package holds
