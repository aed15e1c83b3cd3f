// Package latency measures what a gateway adds to a call of a stand-in runner:
// time to the whole answer, processor time for each request, and memory for each
// open stream. Direct calls and calls through the gateway run in turn in one
// process and one run, so that their ratio holds on a noisy machine.
package latency
