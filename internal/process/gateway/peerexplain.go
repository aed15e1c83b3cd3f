package gateway

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// explainTimeout bounds the time in which the peers must answer; all are asked at the same time.
const explainTimeout = 2 * time.Second

// explainFromPeers asks every connected peer for the explanation of a request and returns the first
// nonempty answer, or nil if there is none.
func (g *Gateway) explainFromPeers(ctx context.Context, request string) []string {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	names := g.members.Connected()
	answers := make(chan []string, len(names))
	for _, name := range names {
		go func() { answers <- g.explainFromPeer(ctx, name, request) }()
	}
	var found []string
	for range names {
		if lines := <-answers; found == nil && len(lines) > 0 {
			found = lines
			cancel() // the other goroutines return at once
		}
	}
	return found
}

// explainFromPeer asks one peer for the explanation of a request. It returns nil if the peer has none or
// doesn't answer.
func (g *Gateway) explainFromPeer(ctx context.Context, name, request string) []string {
	e, err := g.members.Hub().Call(ctx, name, peer.Envelope{Explain: &peer.ExplainRequest{Request: request}})
	if err != nil || e.ExplainResponse == nil || len(e.ExplainResponse.Lines) == 0 {
		return nil
	}
	return append([]string{"served by " + name}, e.ExplainResponse.Lines...)
}
