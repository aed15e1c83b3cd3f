// Package fleet keeps what a process believes of the upstreams: which exist,
// which are leaving, and which may get new work. It joins the platform's list
// with the times at which the platform could not be read. Pure.
//
// Invariants:
//
//   - A life of an upstream that was once seen leaving never gets new work again, whether the
//     list said so or an answer of its own, and whatever the list says later. An
//     upstream that starts again, perhaps under the same id, is another life, and an entry
//     of an older life than was seen is old news.
//   - An entry that can't be read names no upstream, whatever it said before.
//   - An entry that disappears while the platform can be read is gone at once. One
//     that disappears around an outage may only have lapsed, because its upstream
//     could not renew it: it stays for ReturnGrace after the platform's return.
package fleet
