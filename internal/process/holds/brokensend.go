package holds

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

const (
	// connectTimeout limits one connection attempt to an upstream that may have ended.
	connectTimeout = time.Second
	// livenessConnTimeout limits the time to open a liveness connection (see OpenLivenessConn) before a send. It is
	// longer than a round trip between regions, and short compared to the time that a request to an unreachable upstream
	// takes.
	livenessConnTimeout = 100 * time.Millisecond
	// livenessConnTolerance is the maximum time between the break of a send and the end of its liveness connection. If
	// the two are further apart, they may have different causes. The upstream's process may then have ended at
	// another time than that at which the send broke off.
	livenessConnTolerance = time.Second
)

// checkDelays are the delays before each connection attempt to an upstream at which a send broke off. If the process
// has ended, attempts are refused from the time at which it closed its port until the next process listens there. The
// port may be closed slightly later than the connections, and the next process may listen only milliseconds later. So
// there are several attempts.
var checkDelays = []time.Duration{0, 10 * time.Millisecond, 90 * time.Millisecond}

// BrokenSend is a send that broke off before its answer was complete.
type BrokenSend struct {
	Content      quarantine.Content
	Parts        []string // ids of the parts of its prompt that other requests may share
	Incarnation  quarantine.Incarnation
	Address      string // host:port of the upstream
	Sent         time.Time
	LivenessConn *upstream.LivenessConn // from OpenLivenessConn, closed by HandleBrokenSend; nil: none
}

// OpenLivenessConn opens a liveness connection (see the package comment) to an upstream before some work is sent
// there. It returns nil if the work needs no liveness connection. It also returns nil if the upstream can't be
// reached; the work is then sent without one.
func (k *Keeper) OpenLivenessConn(ctx context.Context, content quarantine.Content, address string) *upstream.LivenessConn {
	needed := false
	k.withCore(func(c *quarantine.Core) { needed = c.NeedsLivenessConn(time.Now(), content) })
	if !needed {
		return nil
	}
	conn, err := upstream.OpenLivenessConn(ctx, address, livenessConnTimeout)
	if err != nil {
		// The send may still succeed on a connection that is already open.
		logline.Info("doubted work is sent without a witness", "content", content, "address", address, "error", err)
		return nil
	}
	return conn
}

// CloseLivenessConn closes a liveness connection, or does nothing if conn is nil. A caller of OpenLivenessConn has to
// call it if the send did not break off. If the send broke off, HandleBrokenSend closes the connection.
func CloseLivenessConn(conn *upstream.LivenessConn) {
	if conn == nil {
		return
	}
	if err := conn.Close(); err != nil {
		logline.Debug("witness not closed", "error", err)
	}
}

// HandleBrokenSend records a broken send and checks in the background whether the upstream's process has ended. There
// are two checks. If there is a liveness connection, HandleBrokenSend checks whether that ended, too. And it checks
// whether the upstream refuses new connections, unless such a check of this upstream is in progress already.
func (k *Keeper) HandleBrokenSend(b BrokenSend) {
	brokenAt := time.Now()
	check := k.sendWithPartsBroken(&b)
	logline.Info("send broke off", "upstream", b.Incarnation, "content", b.Content, "parts", strings.Join(b.Parts, ","), "sent_ms", brokenAt.Sub(b.Sent).Milliseconds(),
		"checked", check, "witness", b.LivenessConn != nil)
	if b.LivenessConn != nil {
		k.cfg.RunInBackground(func() { k.awaitLivenessConn(b, brokenAt) })
	}
	if check {
		k.cfg.RunInBackground(func() { k.checkUpstream(k.cfg.Background, b.Incarnation, b.Address) })
	}
}

// CheckUpstream checks in the background whether the process of an upstream has ended that refused a connection, if sends
// broke off there and no check is in progress.
func (k *Keeper) CheckUpstream(incarnation quarantine.Incarnation, address string) {
	wanted := false
	k.withCore(func(c *quarantine.Core) { wanted = c.CheckWanted(incarnation) })
	if wanted {
		k.cfg.RunInBackground(func() { k.checkUpstream(k.cfg.Background, incarnation, address) })
	}
}

// awaitLivenessConn records that an upstream's process has ended if the liveness connection ended at about the same
// time as the send, which broke off at brokenAt, and the link isn't at fault: the address accepts a connection, or its
// refusal shows that the process has ended (see Config.CheckReachable).
func (k *Keeper) awaitLivenessConn(b BrokenSend, brokenAt time.Time) {
	defer CloseLivenessConn(b.LivenessConn)
	if !b.LivenessConn.ClosedNear(k.cfg.Background, brokenAt, livenessConnTolerance) {
		return
	}
	err := k.cfg.CheckReachable(k.cfg.Background, b.Incarnation, b.Address, connectTimeout)
	if err != nil && !IsConnectionRefused(err) {
		logline.Info("connections ended together over a link at fault", "upstream", b.Incarnation, "error", err)
		return
	}
	k.UpstreamEnded(b.Incarnation, "its connections ended together")
}

// checkUpstream checks whether the process of an upstream has ended, and if so records that. It repeats the check if
// another send to the upstream broke off after the check began. If it misses the end of the process, that is noticed
// by a change of the list of upstreams or by a later send.
func (k *Keeper) checkUpstream(ctx context.Context, incarnation quarantine.Incarnation, address string) {
	for again := true; again; {
		began := time.Now()
		refused, err := k.refusesConnection(ctx, incarnation, address)
		logline.Info("upstream checked after a broken send", "upstream", incarnation, "took_ms", time.Since(began).Milliseconds(),
			"refused", refused, "error", err)
		if refused {
			k.UpstreamEnded(incarnation, "connection refused")
			return
		}
		if ctx.Err() != nil {
			return
		}
		k.withCore(func(c *quarantine.Core) { again = c.Checked(incarnation, began) })
	}
}

// refusesConnection tries to connect to an address after each of checkDelays, until an attempt is refused. It reports
// whether one was. err is the error of the last attempt, or that of ctx if ctx ended before.
func (k *Keeper) refusesConnection(ctx context.Context, incarnation quarantine.Incarnation, address string) (refused bool, err error) {
	for _, delay := range checkDelays {
		if err = platform.Sleep(ctx, delay); err != nil {
			return false, err
		}
		if err = k.cfg.CheckReachable(ctx, incarnation, address, connectTimeout); IsConnectionRefused(err) {
			return true, err
		}
	}
	return false, err
}

// IsConnectionRefused reports whether err means that nothing listens at an address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
