package gateway

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// newHolds creates the holds.Keeper. It records crashes of upstreams and holds the contents that caused
// them: requests of a held content are refused for some time.
func (g *Gateway) newHolds() *holds.Keeper {
	return holds.New(holds.Config{
		Instance:        g.cfg.Settings.Instance.Name,
		Store:           g.store,
		Scope:           g.exporter.Scope(),
		Background:      g.background,
		RunInBackground: func(f func()) { g.runBackground(func(context.Context) { f() }) },
		Broadcast:       func(crashes []quarantine.Crash) { g.broadcastCrashes(crashes, "") },
	})
}

// broadcastCrashes sends crashes to all connected peers except the peer named except, from which they
// came ("": none). Each peer forwards the crashes that are new to it, so they reach every instance.
func (g *Gateway) broadcastCrashes(crashes []quarantine.Crash, except string) {
	e := peer.Envelope{Crashes: quarantine.EncodeCrashes(time.Now(), crashes)}
	for _, name := range g.members.Connected() {
		if name == except {
			continue
		}
		if err := g.members.Send(name, e); err != nil {
			logline.Debug("crashes not told", "peer", name, "error", err)
		}
	}
}

// receiveCrashes applies crash reports of a peer and forwards those that this gateway didn't know.
func (g *Gateway) receiveCrashes(from string, reports []quarantine.CrashReport) {
	now := time.Now()
	crashes, err := quarantine.DecodeCrashes(now, reports)
	if err != nil {
		logline.Info("crashes passed over", "peer", from, "error", err)
		return
	}
	if added := g.holds.MergeCrashes(now, crashes); len(added) > 0 {
		g.broadcastCrashes(added, from)
	}
}

// removesEndedHolds reports whether this gateway removes the records of ended holds. Of the live
// gateways, the one with the lowest name does.
func (g *Gateway) removesEndedHolds() bool {
	names := g.liveGateways()
	return len(names) > 0 && slices.Min(names) == g.cfg.Settings.Instance.Name
}

// incarnationOf returns the identifier under which holds track one incarnation (process lifetime) of a
// runner.
func incarnationOf(runner, incarnation string) quarantine.Incarnation {
	return quarantine.Incarnation(runner + "@" + incarnation)
}

// handleBrokenSend records that a send failed or its answer broke off, and lets the holds.Keeper check
// whether the upstream crashed. zone is the upstream's zone and err the error of the send. It takes over
// the liveness connection of b.
//
// A refused connection proves that the upstream ended only within the gateway's own availability
// zone. When zones are cut off from each other, all connections between them are refused; when
// this counted as a crash, requests that callers repeated meanwhile were held. The crash
// of a runner in another zone is detected when a poll returns a new incarnation. A runner that doesn't
// know the run need not have crashed, because the send may never have reached it.
func (g *Gateway) handleBrokenSend(b holds.BrokenSend, zone string, err error) {
	sameZone := zone == g.cfg.Settings.Instance.Zone
	switch {
	case provesNotRun(err):
		// The request did not reach the upstream and can't have crashed it.
		holds.CloseLivenessConn(b.LivenessConn)
	case sameZone:
		g.holds.HandleBrokenSend(b)
	default:
		holds.CloseLivenessConn(b.LivenessConn)
		g.holds.SendBroken(b.Content, b.Incarnation, b.Sent)
	}
	if sameZone && holds.IsConnectionRefused(err) {
		g.holds.UpstreamEnded(b.Incarnation, "connection refused")
	}
}

// hostOf returns the host:port of a base URL, or the address itself if it can't be parsed.
func hostOf(address string) string {
	u, err := url.Parse(address)
	if err != nil {
		logline.Info("address unreadable", "address", address, "error", err)
		return address
	}
	return u.Host
}

// checkRestart records the end of a runner's previous incarnation if a poll returned another one. An
// empty previous incarnation means that none was known.
func (g *Gateway) checkRestart(runner, previous, current string) {
	if previous != "" && previous != current {
		g.holds.UpstreamEnded(incarnationOf(runner, previous), "another incarnation answers")
	}
}

// content returns a hash of the call's request. Repetitions of the request have the same hash.
func (c *call) content() quarantine.Content {
	if c.cachedContent == (quarantine.Content{}) {
		c.cachedContent = quarantine.ContentOf(http.MethodPost, "", c.body.endpoint.path(), c.raw)
	}
	return c.cachedContent
}

// holdRefusal returns an error if the call's content is held, else nil.
func (x *execution) holdRefusal() *errkind.Error {
	if !x.g.holds.HasSuspects() {
		return nil
	}
	return x.g.holds.Refusal(x.call.content())
}

// reportBrokenRun reports to the holds that the current run failed or broke off at its runner. It does
// nothing if no run was sent.
func (x *execution) reportBrokenRun(err error) {
	if x.incarnation == "" {
		return
	}
	_, address, _ := x.engine(x.runner)
	b := holds.BrokenSend{Content: x.call.content(), Incarnation: x.incarnation, Address: hostOf(address), Sent: x.sentAt}
	x.g.handleBrokenSend(b, x.call.snapshot.Runners[x.runner].Zone, err)
}

// reportSuccess reports to the holds that the call got a complete answer.
func (x *execution) reportSuccess() {
	if x.g.holds.HasSuspects() {
		x.g.holds.Succeeded(x.call.content())
	}
}

// content returns a hash of the call's request. Repetitions of the request have the same hash. ok is
// false if the body is streamed, because then it can't be hashed.
func (c *serviceCall) content() (content quarantine.Content, ok bool) {
	if !c.replayable {
		return content, false
	}
	return quarantine.ContentOf(c.r.Method, c.r.Host, c.r.URL.RequestURI(), c.body), true
}

// holdRefusal returns an error if the call's content is known and held, else nil.
func (c *serviceCall) holdRefusal() *errkind.Error {
	if !c.g.holds.HasSuspects() {
		return nil
	}
	content, ok := c.content()
	if !ok {
		return nil
	}
	return c.g.holds.Refusal(content)
}

// openLivenessConn opens a liveness connection at the upstream if the call's content is suspected of causing
// crashes. A liveness connection is an additional connection whose end shows that the process exited. Plain
// services need one, because unlike runners they report no incarnation that would show a restart.
func (c *serviceCall) openLivenessConn(ctx context.Context) {
	if !c.g.holds.HasSuspects() {
		return
	}
	if content, ok := c.content(); ok {
		c.livenessConn = c.g.holds.OpenLivenessConn(ctx, content, hostOf(c.address))
	}
}

// closeLivenessConn closes the call's liveness connection, if there is one. After a send that broke
// off there is none, because reportBrokenSend has handed it over to handleBrokenSend.
func (c *serviceCall) closeLivenessConn() {
	holds.CloseLivenessConn(c.livenessConn)
	c.livenessConn = nil
}

// reportBrokenSend reports to the holds that the current send failed or broke off at its upstream.
func (c *serviceCall) reportBrokenSend(err error) {
	content, ok := c.content()
	if !ok {
		return
	}
	b := holds.BrokenSend{Content: content, Incarnation: quarantine.Incarnation(c.upstream), Address: hostOf(c.address), Sent: c.sentAt, LivenessConn: c.livenessConn}
	c.livenessConn = nil
	c.g.handleBrokenSend(b, c.zone, err)
}

// reportSuccess reports to the holds that the call got a complete answer.
func (c *serviceCall) reportSuccess() {
	if !c.g.holds.HasSuspects() {
		return
	}
	if content, ok := c.content(); ok {
		c.g.holds.Succeeded(content)
	}
}
