// Package metrics exports tally metrics as Prometheus text.
package metrics
