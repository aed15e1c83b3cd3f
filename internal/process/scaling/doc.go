// Package scaling decides how many engines of a service the deployment orders, of which kind and
// in which availability zones.
//
// Engines come in two kinds: lasting ones, and cheaper ones that the platform may take back, all of
// a zone at a time. The fleet as it was found says how many engines the operator wants. Most of
// them are replaced by cheaper ones, as far as they can be had, so that a loss of those of one
// zone leaves most of the fleet; where they can't be had lasting ones stand in.
//
// The core is pure: engines, prices and a time come in, orders go out. What was ordered is kept
// by its caller, as a Plan, so that the next holder of the duty goes on from it.
package scaling
