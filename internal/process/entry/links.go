package entry

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/links"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// maxNeighbors is the number of other upstreams that are tried to tell an upstream that ended from own links that are down.
// A request that crashes upstreams may have ended some of them, too.
const maxNeighbors = 5

// ownLinks tracks which upstreams this instance reaches over its own network links. It is safe for concurrent use.
type ownLinks struct {
	metrics *entryMetrics

	mu     sync.Mutex
	core   *links.Core
	cutOff bool // as last logged
}

func newOwnLinks(m *entryMetrics) *ownLinks { return &ownLinks{metrics: m, core: links.New()} }

// with calls f with the core while holding mu, and logs if this instance was cut off or is no longer.
func (l *ownLinks) with(f func(now time.Time, core *links.Core)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(time.Now(), l.core)
	if cutOff := l.core.CutOff(); cutOff != l.cutOff {
		l.cutOff = cutOff
		l.metrics.setCutOff(cutOff)
		logline.Info("reach of upstreams changed", "cut_off", cutOff, "links_down", l.core.Down())
	}
}

// useOwn reports whether a request to the upstream at an address is sent over the own link.
func (l *ownLinks) useOwn(address string) (own bool) {
	l.with(func(now time.Time, core *links.Core) { own = core.UseOwn(now, address) })
	return own
}

// mayTry reports whether the own link may be used although it is down, because the last probe reached the upstream.
func (l *ownLinks) mayTry(address string) (ok bool) {
	l.with(func(_ time.Time, core *links.Core) { ok = core.MayTry(address) })
	return ok
}

// isDown reports whether the own link to an address is known to be down.
func (l *ownLinks) isDown(address string) (down bool) {
	l.with(func(_ time.Time, core *links.Core) { down = core.IsDown(address) })
	return down
}

// worked records that the own link to an address works.
func (l *ownLinks) worked(address string) {
	l.with(func(now time.Time, core *links.Core) { core.Worked(now, address) })
}

// reached records that an upstream answered a request over the own link.
func (l *ownLinks) reached(u *fleet.Upstream) {
	l.with(func(now time.Time, core *links.Core) { core.Reached(now, u.Address, u.Zone) })
}

// neighbors returns the addresses of other upstreams in the zone of the one at an address that this instance reached lately.
func (l *ownLinks) neighbors(address string) (out []string) {
	l.with(func(now time.Time, core *links.Core) { out = core.Neighbors(now, address, maxNeighbors) })
	return out
}

// failed records that the own link to an address failed.
func (l *ownLinks) failed(address string) {
	l.with(func(now time.Time, core *links.Core) { core.Failed(now, address) })
}

// inDoubt reports whether a failure may well be due to the own links.
func (l *ownLinks) inDoubt() (doubt bool) {
	l.with(func(now time.Time, core *links.Core) { doubt = core.InDoubt(now) })
	return doubt
}

// relayed records that another instance reached an upstream.
func (l *ownLinks) relayed(u *fleet.Upstream, relay string) {
	confirmed := false
	l.with(func(now time.Time, core *links.Core) { confirmed = core.Relayed(now, u.Address) })
	if confirmed {
		logline.Info("link to an upstream is down", "upstream", u.ID, "address", u.Address, "reached_by", relay)
	}
}

// unreachable records that another instance doesn't reach an upstream either.
func (l *ownLinks) unreachable(address string) {
	l.with(func(now time.Time, core *links.Core) { core.Unreachable(now, address) })
}

// usesOwnLink reports whether a request to the upstream at an address is sent over the own link. An instance that knows no
// other one has no choice.
func (e *Entry) usesOwnLink(address string) bool {
	return e.links.useOwn(address) || !e.peers.knowsOthers()
}

// probeLinks starts the probes of links that are due.
func (e *Entry) probeLinks(ctx context.Context) {
	var due []string
	e.links.with(func(now time.Time, core *links.Core) { due = core.ProbesDue(now) })
	for _, address := range due {
		e.spawn(func() { e.probeLink(ctx, address) })
	}
}

// probeLink checks whether the own link to an address works again.
func (e *Entry) probeLink(ctx context.Context, address string) {
	err := upstream.CheckReachable(ctx, address, upstreamDialTimeout)
	restored := false
	e.links.with(func(now time.Time, core *links.Core) { restored = core.Probed(now, address, err == nil) })
	if restored {
		logline.Info("link to an upstream works again", "address", address)
	}
}

// isLinkFailure reports whether a call over the own link failed in a way that a link that is down explains: the
// connection couldn't be opened, or the kernel ended it because nothing was acknowledged. Failures of this machine,
// such as a lack of ports, are none.
func isLinkFailure(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return true
	}
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		return false
	}
	if op.Timeout() {
		return true
	}
	for _, cause := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.ENETDOWN} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// linkBody is the body of a response that came over the own link. A link that goes silent during the response is
// recorded as failed.
type linkBody struct {
	io.ReadCloser
	links   *ownLinks
	address string
}

// Read implements io.Reader.
func (b *linkBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && isLinkFailure(err) {
		b.links.failed(b.address)
	}
	return n, err
}
