// Package controller is the shell of ragwort-controller: it turns I/O into events for
// the pure cores and carries out their actions.
//
// One goroutine, the loop, owns every core. I/O runs in goroutines of its own and
// hands its result back to the loop. Nothing is ordered while the platform is away,
// because the lease cannot be renewed then; the engines go on serving.
package controller
