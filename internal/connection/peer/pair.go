package peer

import (
	"github.com/coder/websocket"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// adopt makes l the connection of its pair, unless the present one stays.
func (h *Hub) adopt(l *link) (*slot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.slots[l.peer.Name]
	if !ok {
		s = &slot{}
		h.slots[l.peer.Name] = s
	}
	if s.link != nil && !replaces(l, s.link, h.cfg.Self.Name) {
		return nil, false
	}
	former := s.link
	s.link = l
	s.users++
	if former != nil {
		go former.close(websocket.StatusNormalClosure, "")
	}
	return s, true
}

// replaces reports whether a new connection takes the place of the present one:
// if the peer or its network restarted, or if the side with the smaller name
// dialed the new one.
func replaces(l, present *link, self string) bool {
	if l.peer.Incarnation != present.peer.Incarnation {
		return true
	}
	if l.dialer == present.dialer {
		return true
	}
	return l.dialer == min(self, l.peer.Name)
}

// runLink delivers the connection's messages until it ends.
func (h *Hub) runLink(s *slot, l *link) {
	h.tellConnected(s, l)
	err := l.run(h.cfg.PingEvery, h.cfg.PingTimeout, func(e Envelope) { h.receive(s, l, e) })
	logline.Debug("peer_link_ended", "peer", l.peer.Name, "error", err)
	h.tellDisconnected(s, l)
}

// tellConnected tells the handler, unless this connection replaces another one of
// the same process.
func (h *Hub) tellConnected(s *slot, l *link) {
	s.deliver.Lock()
	defer s.deliver.Unlock()
	if !h.isCurrent(s, l) || s.told == l.peer.Incarnation {
		return
	}
	if s.told != 0 {
		h.failCalls(l.peer.Name)
		h.handler.Disconnected(l.peer.Name)
	}
	s.told = l.peer.Incarnation
	h.handler.Connected(l.peer)
}

// tellDisconnected tells the handler, unless another connection took the place.
func (h *Hub) tellDisconnected(s *slot, l *link) {
	s.deliver.Lock()
	defer s.deliver.Unlock()
	if !h.release(s, l) || s.told == 0 {
		return
	}
	s.told = 0
	h.failCalls(l.peer.Name)
	h.handler.Disconnected(l.peer.Name)
}

func (h *Hub) isCurrent(s *slot, l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return s.link == l
}

// release gives the slot up and reports whether l was the connection of its pair
// until now.
func (h *Hub) release(s *slot, l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.users--
	current := s.link == l
	if current {
		s.link = nil
	}
	if s.users == 0 {
		delete(h.slots, l.peer.Name)
	}
	return current
}

// receive delivers one message. The name of the sender is the authenticated one.
func (h *Hub) receive(s *slot, l *link, e Envelope) {
	e.From = l.peer.Name
	if e.Re != 0 {
		h.answerCall(l.peer.Name, e)
		return
	}
	s.deliver.Lock()
	answer := h.handler.Receive(l.peer, e)
	s.deliver.Unlock()
	if answer == nil || e.Call == 0 {
		return
	}
	answer.Re = e.Call
	if err := h.Send(l.peer.Name, *answer); err != nil {
		logline.Debug("peer_answer_lost", "peer", l.peer.Name, "error", err)
	}
}
