// Package quarantine keeps work away from upstreams that crash when they run it.
//
// A request that crashes whatever runs it comes again, under a new id and at another
// instance, and takes one upstream after the other with all that they have under way. One
// attempt looks like an accident, so what is remembered belongs to the work itself
// (Content), over all attempts and all instances.
//
// The core is told of sends that broke off, and of upstreams that ended; both together are a
// Crash. Instances tell each other of theirs. Work under which upstreams ended twice, with
// no whole answer in between, is held: nobody sends it for a while. Pure: events and a
// time in, what is to be told out.
package quarantine
