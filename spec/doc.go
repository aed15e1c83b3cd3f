// Package spec holds the Promela models of the project (see the Makefile beside
// this file) and a test that walks the schedules of the lease model over the real
// cores. The walk of the claim model is in internal/request/claim.
package spec
