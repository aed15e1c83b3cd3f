// Package tunnel opens connections to upstreams through other instances. An instance that can't reach an upstream
// itself asks another one, the relay, to connect to it and to forward the bytes of that one connection.
//
// A tunnel is a WebSocket connection whose binary messages are the bytes of the upstream's connection. The relay
// neither reads nor changes them, so the answer with its signature, the limits on repeats and all other rules stay
// with the instance that has the caller. The close message tells the end of the upstream's connection apart from the
// loss of the relay: without it, a response that ends with its connection would look complete when the relay is
// killed.
package tunnel
