// Package place decides at which upstream a request runs, how long it may wait in the
// queue, and when it is refused. A process decides for its own requests and for those of
// instances that ask it. It bases its decisions on its own requests in flight, on what
// peers report (SetPeerLoad, PeerCacheUpdated) and on the load that upstreams report with their
// answers. The package does no I/O and reads no clock.
//
// A place is the permission to send one request to one upstream. Tracker tracks the load
// of each upstream and picks one for a request. Queue holds the requests that no upstream
// has room for yet, most urgent first, and refuses those whose latest start has passed.
// Apply processes the events of a granted place, observed by this process or reported by
// the instance that uses the place. At an upstream that reports a rate limit for all
// instances together, a place is granted only against credit of this process's share of
// that limit (SetRateShare).
//
// Terms of this package:
//   - An incarnation is one run of an upstream's process, from its start to its end.
//   - An engine is an upstream that runs a model. It prefills a prompt (computes its KV cache)
//     and decodes (generates the answer). One engine may prefill and another one decode.
//   - Work is what an upstream does for a request, such as Prefill or Decode. With Reserve, a
//     decode engine keeps a slot free while another engine prefills; Claimed ends that. With
//     LocalPrefill, the decode engine itself prefills a long prompt.
//   - A slot of an upstream is room for one running request.
//   - The event gap is the time between two events of a streamed answer.
//   - Backoff is the time for which an upstream that rejected a request gets none. After it
//     the upstream is in slow start: it gets few requests at first (see backoff).
//   - A retry slot is a part of the allowed rate that is kept for a refused caller until the
//     time at which it was told to retry (see retrySlot).
package place
