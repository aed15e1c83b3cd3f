// Package entry implements the process that runs on every entry instance of a deployment
// that routes requests by host name and path. The process is a reverse proxy for callers'
// requests to upstreams. For each request, it asks a placer for a place. While it holds the
// lease, it also orders engines to change their roles and carries out duties.
//
// Terms:
//
//   - A place is the permission to send one request to a certain upstream. The request holds
//     the place until it is released. A reserved place is used only after another engine has
//     prefilled the prompt.
//   - A placer is an instance that gives places to the other instances of its availability
//     zone (package peers). They ask it for places with place requests, and tell it with event
//     reports what happens to the requests that got places.
//   - The lease is an object on the platform that at most one instance holds at a time (package
//     authority). The fence is its fencing token, a number that grows with each change of
//     holder. It is sent with each order and duty, so that those of a former holder can be
//     refused.
//   - A duty is a call to the platform that only the holder of the lease makes, on behalf of the
//     whole deployment: to report usage or to order engines.
//   - The era of the platform is a number that changes each time the platform is restored from
//     an older copy of its data.
//   - A record is an object on the platform in which the holder of the lease stores what it is
//     about to do, so that the next holder can continue from it.
//   - A feed is a kind of object on the platform that an instance lists once and then watches.
//   - A hold is a period in which no instance sends requests for a certain piece of work, because
//     upstreams crashed while they did that work (package holds).
//   - The origin of a stream is the service and the version of software of the upstream that sent its
//     first event. The stream may go on only there (package streams).
//   - A liveness connection is a second connection to an upstream that carries no request. If it
//     ends at about the same time as the request's connection, the upstream's process has exited.
//   - An incarnation is one run of a process, from its start to its end.
//   - The role of an engine is prefill, decode or both. An engine in the role both prefills and
//     decodes.
//
// Decisions are made by packages without I/O: routing (which route), fleet (which upstreams
// exist), place (where and when a request runs), retry (whether it may be sent again),
// eventstream (which events of a stream are written to the caller). This package does the I/O
// and connects them.
package entry
