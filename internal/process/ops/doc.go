// Package ops serves the operators' port: ready, live, metrics, drain state, explain.
package ops
