package peer

import "sync/atomic"

// Stats holds counters of a Hub since its start. The byte counts are the sizes of the
// encoded messages, without the overhead of WebSocket, TLS and TCP.
type Stats struct {
	Links            int // number of peers connected now
	MessagesSent     uint64
	MessagesReceived uint64
	BytesSent        uint64
	BytesReceived    uint64
	Dropped          uint64 // messages not sent because the queue was full
}

// counters holds the counters of Stats that grow while the Hub runs.
type counters struct {
	messagesSent, messagesReceived atomic.Uint64
	bytesSent, bytesReceived       atomic.Uint64
	dropped                        atomic.Uint64
}

func (c *counters) addSent(bytes int) {
	c.messagesSent.Add(1)
	c.bytesSent.Add(uint64(bytes))
}

func (c *counters) addReceived(bytes int) {
	c.messagesReceived.Add(1)
	c.bytesReceived.Add(uint64(bytes))
}

// Stats returns the current counters.
func (h *Hub) Stats() Stats {
	return Stats{
		Links:            len(h.Connected()),
		MessagesSent:     h.counters.messagesSent.Load(),
		MessagesReceived: h.counters.messagesReceived.Load(),
		BytesSent:        h.counters.bytesSent.Load(),
		BytesReceived:    h.counters.bytesReceived.Load(),
		Dropped:          h.counters.dropped.Load(),
	}
}
