package claim

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// DefaultKeeperTimeout is the default timeout of one operation at one keeper.
const DefaultKeeperTimeout = 3 * time.Second

// Requester performs the claim operations of sessions. It returns no error: an operation
// that got no answer is reported as claim_unavailable, with Written set unless it
// was a lookup.
type Requester interface {
	Perform(ctx context.Context, request peer.ClaimRequest) peer.ClaimResponse
}

// PeerCaller sends a message to the named peer and returns its answer. peer.Hub
// implements it.
type PeerCaller interface {
	Call(ctx context.Context, name string, e peer.Envelope) (peer.Envelope, error)
}

// Client performs claim operations at the keeper of a key's bucket. If that keeper
// cannot be reached or cannot reach the store, Client falls back to the local keeper, or
// to the second in rank if the local keeper was the first. A fallback is always safe,
// since buckets are written by conditional update and operations are idempotent.
type Client struct {
	Self         string // name of this gateway
	Local        *KeeperService
	Peers        PeerCaller
	LiveGateways func() []string // returns the names of the gateways considered live
	Timeout      time.Duration   // of one operation at one keeper; DefaultKeeperTimeout if zero
}

// maxKeepersTried is the maximum number of keepers at which an operation is tried, one
// after the other.
const maxKeepersTried = 2

// Perform implements Requester. An operation with a malformed key hash is answered with
// invalid_request.
func (c *Client) Perform(ctx context.Context, request peer.ClaimRequest) peer.ClaimResponse {
	if len(request.KeyHash) != hashBytes {
		return peer.ClaimResponse{Kind: string(errkind.InvalidRequest)}
	}
	var combined peer.ClaimResponse
	for i, name := range c.keepers(BucketOf(Key(request.KeyHash))) {
		a := c.callKeeper(ctx, name, request)
		if i > 0 {
			a = mergeAnswers(combined, a)
		}
		if errkind.Kind(a.Kind) != errkind.ClaimUnavailable || ctx.Err() != nil {
			return a
		}
		combined = a
	}
	return combined
}

// keepers returns the gateways to try in order: the bucket's keeper and then this
// gateway, or the next in rank if this gateway is the keeper.
func (c *Client) keepers(bucket string) []string {
	ranked := RankKeepers(bucket, c.LiveGateways())
	if len(ranked) == 0 {
		return []string{c.Self}
	}
	if ranked[0] != c.Self {
		return []string{ranked[0], c.Self}
	}
	return ranked[:min(len(ranked), maxKeepersTried)]
}

func (c *Client) callKeeper(ctx context.Context, name string, request peer.ClaimRequest) peer.ClaimResponse {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultKeeperTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if name != c.Self {
		return c.callPeer(ctx, name, request)
	}
	ch := make(chan peer.ClaimResponse, 1)
	c.Local.Submit(request, func(a peer.ClaimResponse) { ch <- a })
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
		return lostAnswer(request)
	}
}

func (c *Client) callPeer(ctx context.Context, name string, request peer.ClaimRequest) peer.ClaimResponse {
	e, err := c.Peers.Call(ctx, name, peer.Envelope{V: peer.ProtocolVersion, From: c.Self, Claim: &request})
	if err != nil || e.ClaimResponse == nil {
		return lostAnswer(request)
	}
	return *e.ClaimResponse
}

// lostAnswer returns the answer to assume when none arrived: unless the operation
// was a lookup, it may still take effect.
func lostAnswer(request peer.ClaimRequest) peer.ClaimResponse {
	return peer.ClaimResponse{
		Kind:    string(errkind.ClaimUnavailable),
		Written: request.Op != peer.ClaimLookup,
	}
}

// mergeAnswers combines answer a with that of an earlier keeper that refused the same
// operation. The result has Absent and Written set if either answer has. If a is a
// refusal without a claim, other than key_reused, the result also has the claim that
// the earlier keeper reported.
func mergeAnswers(earlier, a peer.ClaimResponse) peer.ClaimResponse {
	a.Absent = a.Absent || earlier.Absent
	a.Written = a.Written || earlier.Written
	if a.RunID == "" && earlier.RunID != "" && a.Kind != "" && errkind.Kind(a.Kind) != errkind.KeyReused {
		merged := earlier
		merged.Absent, merged.Written = a.Absent, a.Written
		return merged
	}
	return a
}
