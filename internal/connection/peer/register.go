package peer

import (
	"github.com/coder/websocket"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// register makes l the connection to its peer and closes the previous connection. It
// returns false, and changes nothing, if the previous connection is kept.
func (h *Hub) register(l *link) (*peerState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.peers[l.peer.Name]
	if !ok {
		s = &peerState{}
		h.peers[l.peer.Name] = s
	}
	if s.link != nil && !replaces(l, s.link, h.cfg.Self.Name) {
		return nil, false
	}
	previous := s.link
	s.link = l
	s.users++
	if previous != nil {
		go previous.close(websocket.StatusNormalClosure, "")
	}
	return s, true
}

// replaces reports whether the new connection l replaces the current one. It does so if
// the peer has restarted, if the same side dialed both (that side dials again only after it
// has lost the current one), or if the side with the smaller name dialed l.
func replaces(l, current *link, self string) bool {
	if l.peer.Incarnation != current.peer.Incarnation {
		return true
	}
	if l.dialer == current.dialer {
		return true
	}
	return l.dialer == min(self, l.peer.Name)
}

// serveLink calls the handler for the connection, its messages and its end. It returns when
// the connection has ended.
func (h *Hub) serveLink(s *peerState, l *link) {
	h.notifyConnected(s, l)
	err := l.run(h.cfg.PingInterval, h.cfg.PingTimeout, func(e Envelope) { h.receive(s, l, e) })
	logline.Debug("peer_link_ended", "peer", l.peer.Name, "error", err)
	h.notifyDisconnected(s, l)
}

// notifyConnected calls Handler.Connected, unless this connection replaces another
// one to the same incarnation.
func (h *Hub) notifyConnected(s *peerState, l *link) {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	if !h.isCurrent(s, l) || s.connectedIncarnation == l.peer.Incarnation {
		return
	}
	if s.connectedIncarnation != 0 {
		h.failCalls(l.peer.Name)
		h.handler.Disconnected(l.peer.Name)
	}
	s.connectedIncarnation = l.peer.Incarnation
	h.handler.Connected(l.peer)
}

// notifyDisconnected calls Handler.Disconnected, unless another connection has
// replaced this one.
func (h *Hub) notifyDisconnected(s *peerState, l *link) {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	if !h.unregister(s, l) || s.connectedIncarnation == 0 {
		return
	}
	s.connectedIncarnation = 0
	h.failCalls(l.peer.Name)
	h.handler.Disconnected(l.peer.Name)
}

// isCurrent reports whether l is the connection to its peer, not a replaced one.
func (h *Hub) isCurrent(s *peerState, l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return s.link == l
}

// unregister ends l's use of the peer's state, which is deleted when no connection uses it
// any more. It reports whether l was still the connection to its peer.
func (h *Hub) unregister(s *peerState, l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.users--
	current := s.link == l
	if current {
		s.link = nil
	}
	if s.users == 0 {
		delete(h.peers, l.peer.Name)
	}
	return current
}

// receive handles one message, with From set to the authenticated name. An answer is passed
// to its pending call. Any other message is passed to the handler; if it is a call, the
// handler's answer is sent back.
func (h *Hub) receive(s *peerState, l *link, e Envelope) {
	e.From = l.peer.Name
	if e.Re != 0 {
		h.deliverAnswer(l.peer.Name, e)
		return
	}
	s.deliverMu.Lock()
	answer := h.handler.Receive(l.peer, e)
	s.deliverMu.Unlock()
	if answer == nil || e.Call == 0 {
		return
	}
	answer.Re = e.Call
	if err := h.Send(l.peer.Name, *answer); err != nil {
		logline.Debug("peer_answer_lost", "peer", l.peer.Name, "error", err)
	}
}
