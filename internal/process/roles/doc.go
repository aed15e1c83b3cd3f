// Package roles decides how many engines of a service read prompts and how many
// decode, from the demand that all instances saw in the last seconds. Pure.
//
// It differs from package policy in what is known: there an operator states the
// rates of each class of engine and a change is weighed over minutes; here nothing
// is stated, the times that requests take are measured, a change takes an engine
// away for seconds, and the mix swings as fast.
package roles
