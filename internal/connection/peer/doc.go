// Package peer exchanges messages between daemons. The messages are encoded as CBOR and
// carry a protocol version. Each pair of daemons has one WebSocket connection. The two
// daemons authenticate each other by a shared key or by mutual TLS.
package peer
