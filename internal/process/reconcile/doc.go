// Package reconcile computes from desired and actual state a plan of steps with a reason for each. Pure.
package reconcile
