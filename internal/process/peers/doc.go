// Package peers decides which instances of the system are placers and what instances send each other
// about load. A placer chooses upstreams for the requests of other instances. The package defines
// and encodes the messages; it does no I/O.
//
// One of every hundred instances of an availability zone is a placer (Placer, IsPlacer). Each other
// instance asks a placer for a place, that is, for the permission to send one request to an upstream
// that the placer chooses (PlaceRequest, PlaceResponse), and reports what happens to the request there
// (EventReport). A placer therefore knows all requests in flight of the instances that ask it, in a
// deployment of any size.
//
// Terms:
//
//   - The rank of an instance is its position in its availability zone. Machines with more CPU cores
//     come first. Every instance computes the same ranks without communication. The first instances
//     in rank are the placers by rank. If one of them is unavailable, the next one in rank
//     substitutes for it.
//   - A group is a number of instances with consecutive ranks. The instances of the first group, the
//     candidates, follow the platform's list of upstreams, so that they can become placers.
//   - To follow a part of the platform's state, such as the upstreams, is to read it and to watch its
//     changes.
//   - A read is the report that an upstream prefilled a prompt, or fetched its KV cache (type Read).
//   - A load report is a message with the sender's requests in flight at each upstream (its rows),
//     with reads, and sometimes with the demand of the sender's callers.
//
// The load that an upstream reports is some hundred milliseconds old, and an instance that sends to
// the upstream only a few times per second gets only as many reports. Without coordination,
// instances would therefore choose the same apparently idle upstream at the same time. The load
// reports that placers exchange (Message.Rows, Reads) are a few milliseconds old. They are only
// hints: a lost message is replaced by the next one, and an instance that is cut off continues with
// the load that upstreams report.
//
// Instances keep the origins of streams for each other, so that a caller can resume a stream at any of
// them (Holders, StreamTargets).
//
// A rate limit that an upstream announces applies to all instances together. Each instance owns a
// share of it, and instances lend each other their shares (RateShare).
package peers
