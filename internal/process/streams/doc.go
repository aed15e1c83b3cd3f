// Package streams remembers with which version of an upstream's software a resumable stream began. Upstreams of several
// versions may serve a service at the same time, and what two versions write doesn't fit together, so a stream may go on
// only at the version that began it. Callers resume a stream that broke off by a new request, often at another instance,
// and nothing that they send says where it began.
//
// Terms:
//
//   - The origin of a stream is the service and the version of software of the upstream that sent its first event.
//   - A row is the origin of one stream, by the id of the caller's attempt that brought its first event. The instance
//     that passed this event on keeps the row for some time after the wait that the caller declared.
//   - A holder is one of a few other instances that keep a copy of a row. They are chosen by the row's key (Holders), so
//     that any instance can compute which to ask.
//   - A durable row is kept in the platform's store as well (ZoneRows), since holders and the instance itself may be
//     lost at once: that of a stream which began in doubt and has not ended soon. One instance of each availability zone
//     writes the rows of all instances there.
//
// Rows are copied to holders only while there may be upstreams of several versions. Otherwise the origin follows from
// the record. Resolve decides on the origin by all that is known.
//
// The package is pure: it has no I/O and no clock.
package streams
