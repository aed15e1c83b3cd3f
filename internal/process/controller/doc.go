// Package controller is the shell of ragwort-controller: it turns I/O into events for the pure cores and carries out their actions.
package controller
