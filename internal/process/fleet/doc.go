// Package fleet keeps a process's view of the upstreams: which exist, which are leaving, and which
// may get new work. It takes into account the platform's list of upstreams, the outages in which the
// platform could not be read, and what upstreams reported in responses. It is pure: it has no I/O
// and no clock.
//
// Terms:
//
//   - An entry describes one upstream in the platform's list.
//   - An incarnation is one run of an upstream's process, from its start to its end.
//   - A leaving upstream is about to stop, so it must not get new work.
//   - An entry lapses if its upstream doesn't renew it in time. The platform then removes it.
//   - A missing entry is no longer in the list, but is kept because it may be listed again.
//   - A tombstone records a removed entry for some time, so that a late write is recognized.
//   - The era is a number that changes each time the platform is restored from an older copy of
//     its data.
//
// Invariants:
//
//   - Once the list or a response of an upstream has said that the upstream is leaving, this
//     incarnation of it gets no new work any more, whatever the list says later. An upstream that
//     restarts, even with the same ID, is another incarnation. An entry of an older incarnation
//     than the newest known one is ignored.
//   - An upstream whose entry can't be read is not used, whatever the entry contained before.
//   - An entry that disappears while the platform answers is removed at once. One that
//     disappears around an outage may only have lapsed because its upstream couldn't renew it: it
//     is kept for RestoreGrace after the platform answers again. An outage is told by the calls to
//     the store (outageWitness), not by a failed call alone.
package fleet
