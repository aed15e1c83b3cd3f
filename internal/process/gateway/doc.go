// Package gateway is the shell of ragwort-gateway: it turns I/O into events for the pure cores and carries out their actions.
package gateway
