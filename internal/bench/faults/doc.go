// Package faults measures what becomes of streams when something breaks in the
// middle of them. Three gateways, nine stand-in runners and a plain service in
// three availability zones run in one process and talk HTTP over loopback, each
// pair through a forwarder of its own that can be cut. Callers behave as real ones.
// What they are told is compared with the ledgers of the stand-ins.
package faults
