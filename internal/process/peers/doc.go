// Package peers decides which instances of the system give places at upstreams to requests
// of all instances, and what those few tell each other of what is under way. Pure but for
// the codec of the messages.
//
// Of each availability zone one instance in a hundred gives places (Placer, IsPlacer);
// the others ask it (Question, PlaceAnswer) and tell it what becomes of them (Note). So one
// instance knows all that a zone has under way, in a fleet of any size.
//
// What an upstream reports of its load is some hundred ms old, and an instance that
// sends to it a few times a second hears of it as rarely: instances then choose the
// same idle-looking upstream together. What placers tell each other (Message.Rows, Reads)
// is a few ms old.
// It is advice only: a message that is lost is replaced by the next one, and
// an instance that is cut off goes on by what upstreams report.
//
// Limits of requests a second that upstreams name for all instances together are kept by parts of
// them, which instances have and lend to each other (RateShare).
package peers
