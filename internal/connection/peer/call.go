package peer

import (
	"context"

	"github.com/pkg/errors"
)

// pendingCall is a call that has not been answered yet.
type pendingCall struct {
	peer   string        // name of the peer that was called
	answer chan Envelope // receives the answer; closed if the connection ends before it
}

// Call sends a message to the named peer and waits for the answer. It returns an error if
// the peer is not connected, its connection ends, ctx ends or the Hub is closed. After an
// error, the peer may or may not have handled the message.
func (h *Hub) Call(ctx context.Context, name string, e Envelope) (Envelope, error) {
	e.Call = h.calls.Add(1)
	p := pendingCall{peer: name, answer: make(chan Envelope, 1)}
	h.mu.Lock()
	h.pendingCalls[e.Call] = p
	h.mu.Unlock()
	defer h.removeCall(e.Call)
	if err := h.Send(name, e); err != nil {
		return Envelope{}, err
	}
	select {
	case answer, ok := <-p.answer:
		if !ok {
			return Envelope{}, errors.Wrap(ErrNotConnected, name)
		}
		return answer, nil
	case <-ctx.Done():
		return Envelope{}, errors.Wrapf(ctx.Err(), "call to peer %s", name)
	case <-h.ctx.Done():
		return Envelope{}, ErrClosed
	}
}

// removeCall forgets a pending call. An answer that arrives later is ignored.
func (h *Hub) removeCall(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pendingCalls, id)
}

// deliverAnswer passes an answer to the pending call that it belongs to. It ignores an
// answer that belongs to no pending call or comes from another peer than the called one.
func (h *Hub) deliverAnswer(from string, e Envelope) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.pendingCalls[e.Re]
	if !ok || p.peer != from {
		return
	}
	delete(h.pendingCalls, e.Re)
	p.answer <- e
}

// failCalls ends the pending calls to a peer whose connection has ended.
func (h *Hub) failCalls(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, p := range h.pendingCalls {
		if p.peer == name {
			delete(h.pendingCalls, id)
			close(p.answer)
		}
	}
}
