// Package peers decides which instances of the system tell each other what they have
// under way at upstreams, and how often. Pure but for the codec of the messages.
//
// What an upstream reports of its load is some hundred ms old, and an instance that
// sends to it a few times a second hears of it as rarely: instances then choose the
// same idle-looking upstream together. What they tell each other is a few ms old.
// It is advice only: a message that is lost is replaced by the next one, and
// an instance that is cut off is forgotten and goes on by what upstreams report.
package peers
