// Package idle measures what a gateway and a controller cost while nothing is
// asked of them: processor time and memory, with fleets of three sizes. The
// stand-ins run in the same process, so that the figures are upper bounds.
package idle
