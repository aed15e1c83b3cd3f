// Package origins decides where a stream may have begun of which nobody has a row any more (package streams), because all
// instances that had it were lost or have forgotten it.
//
// The platform's store has one record for all instances. For each service with resumable routes it names the versions of
// software that upstreams able to begin streams had within Memory, and for each resumable route the services to which it
// led. Instances that follow the list of upstreams keep it up to date. They add a version before they place streams at
// an upstream that has it (Core.Recorded). So a record that is read after a caller has asked contains the origin of the
// caller's stream, and Record.Sole returns it if no other one is possible. Nothing is concluded from how long an instance
// has followed the list, or from how long callers are said to wait.
//
// The store may be restored from an older copy, which may lack the latest entries. A record therefore names the era of
// the store in which it was confirmed by an instance that knew it before, and says nothing in any other era. If no
// instance is left that knew it, the record says nothing for as long as Memory.
//
// The package is pure: it has no I/O and no clock.
package origins
