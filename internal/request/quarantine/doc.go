// Package quarantine keeps poison requests, which crash the upstreams that run them, away from
// upstreams for a limited time.
//
// Callers retry a poison request under a new request id, often through another instance. It
// crashes one upstream after the other, and each crash also ends all other requests in flight
// there. A single crash may be a coincidence. So crashes are recorded by what the request asks
// for, its work, whatever the request id: a hash (Content) identifies the work across all
// attempts and instances.
//
// A send that broke off at an upstream whose process then ended counts as a Crash. Instances
// share their crashes. After two independent crashes without a complete answer in between the
// work is held: no instance sends it until the hold ends.
//
// One part of a prompt may crash upstreams whatever else the request holds, so that no two of these
// requests have the same Content. Crashes are therefore also counted for each part of the prompt that
// other requests may share, which has a Content of its own (PartContent) and is held like work, after
// more crashes. The crashes of a held part are explained: they don't count against anything else that
// was under way at the same upstreams. Instances may come to different conclusions about that, as they
// saw different answers.
//
// Terms of this package:
//   - A hold is a period during which no instance sends some work to any upstream.
//   - A hold is suspended at an instance that blames something else for its crashes. It stays on the
//     platform, and in force at the others.
//   - A suspect is work that has crashed an upstream or was held.
//   - A crash is void if it no longer counts against the work, because the work was answered
//     completely since.
//   - A record is a hold as stored on the platform. It names the crashes that led to the hold. It is
//     unwanted, and has to be removed, if these no longer justify the hold (see recordState).
//   - Two crashes are independent if the work of the second was sent after the first, and
//     some time lies between the two. Otherwise both may have the same cause, such as a power
//     loss or a cut link (see countIndependent).
//   - An incarnation is one run of an upstream's process, from its start to its end.
//   - A liveness connection is an extra connection to an upstream that carries no requests.
//     It shows reliably whether the upstream's process ends, since that closes all of its
//     connections.
//
// The package is pure: callers pass in events and the time, and get the crashes and holds to
// share and to store.
package quarantine
