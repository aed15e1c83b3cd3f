package entry

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/tunnel"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
)

// forward sends the request to the upstream of a place: over the own link or, if that is down, through another
// instance. A request that may have been sent over one way isn't sent over the other. The error is that of
// upstream.Services.Forward.
func (q *request) forward(ctx context.Context, held *heldPlace, send exchange.SendOptions) (upstream.ServiceResponse, error) {
	u, e := held.upstream(), q.e
	q.relay, q.sentToBefore, q.keptConnection = "", false, false
	if e.usesOwnLink(u.Address) {
		resp, err := q.forwardOverOwnLink(ctx, held, send)
		if err == nil || ctx.Err() != nil || !errors.Is(err, upstream.ErrNotRun) || !isLinkFailure(err) {
			return resp, err
		}
		relayed, relayErr := q.forwardThroughRelay(ctx, held, send)
		if errors.Is(relayErr, errNoRelay) || errors.Is(relayErr, tunnel.ErrUnreachable) {
			return resp, err
		}
		if holds.IsConnectionRefused(err) {
			e.spawn(func() { e.reportIfRestarted(u) })
		}
		return relayed, relayErr
	}
	resp, err := q.forwardThroughRelay(ctx, held, send)
	if errors.Is(err, errNoRelay) && ctx.Err() == nil && e.links.mayTry(u.Address) {
		return q.forwardOverOwnLink(ctx, held, send)
	}
	return resp, err
}

// forwardOverOwnLink sends the request over the own link to the upstream, and records whether the link works.
func (q *request) forwardOverOwnLink(ctx context.Context, held *heldPlace, send exchange.SendOptions) (upstream.ServiceResponse, error) {
	u, e := held.upstream(), q.e
	q.sentToBefore = slices.Contains(q.sentTo, u.Address)
	q.sentTo = append(q.sentTo, u.Address)
	call := q.serviceCall(u, send)
	// A late second copy of the response to the earlier send has the request's id, too. It can come only on the
	// connection of that send.
	call.OwnConnection = q.sentToBefore
	resp, err := e.client.Forward(ctx, call)
	q.keptConnection = resp.Reused
	switch {
	case err == nil:
		e.links.reached(u)
		resp.Body = &linkBody{ReadCloser: resp.Body, links: e.links, address: u.Address}
	case ctx.Err() == nil && isLinkFailure(err):
		e.links.failed(u.Address)
	}
	return resp, err
}

// forwardThroughRelay sends the request through another instance. The upstream may have begun to leave while the own
// link was tried, so the place is checked again.
func (q *request) forwardThroughRelay(ctx context.Context, held *heldPlace, send exchange.SendOptions) (upstream.ServiceResponse, error) {
	u, e := held.upstream(), q.e
	conn, relay, err := e.openTunnel(ctx, u, false)
	if err != nil {
		return upstream.ServiceResponse{}, notSent(err)
	}
	e.state.awaitConfirmation(ctx)
	if err := e.checkUsable(held); err != nil {
		_ = conn.Close() // nothing was sent
		return upstream.ServiceResponse{}, notSent(err)
	}
	q.relay = relay
	e.metrics.countRelayed()
	return upstream.ForwardOver(ctx, conn, q.serviceCall(u, send))
}

// reportIfRestarted records that an upstream without its start has ended if its address, which refused a connection
// before, now accepts one: another instance reached it since, so its process was replaced. Otherwise the link is at
// fault. The restart of one with its start shows in the list.
func (e *Entry) reportIfRestarted(u *fleet.Upstream) {
	if u.StartedMS == 0 && upstream.CheckReachable(e.workCtx, u.Address, upstreamDialTimeout) == nil {
		e.holds.UpstreamEnded(incarnationOf(u), "it refused a connection and accepts one again")
	}
}

// notSent returns an error of a call that provably was not sent.
func notSent(err error) error { return fmt.Errorf("%w: %w", upstream.ErrNotRun, err) }
