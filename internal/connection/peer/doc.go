// Package peer carries messages between the system's own processes: one
// WebSocket connection for each pair, CBOR messages with a protocol version,
// authenticated by a shared key or by mutual TLS.
package peer
