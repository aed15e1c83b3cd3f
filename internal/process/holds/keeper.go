package holds

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// Config configures a Keeper.
type Config struct {
	Instance        string
	Store           platform.Store
	Scope           tally.Scope
	Background      context.Context                  // ends when the process stops its background work
	RunInBackground func(func())                     // runs a function in the background; the process waits for its end
	StoreDelay      func(own bool) time.Duration     // delay before a hold is stored or removed, see startHolds and startRemovals; nil: no delay
	Broadcast       func(crashes []quarantine.Crash) // reports new and newly void crashes to other instances; nil: not reported

	// CheckReachable connects to an upstream's address and closes the connection. An error that matches
	// syscall.ECONNREFUSED says that nothing listens there; nil: upstream.CheckReachable.
	CheckReachable func(ctx context.Context, incarnation quarantine.Incarnation, address string, timeout time.Duration) error
}

// Keeper tracks crashes and holds for one process. It is safe for concurrent use.
type Keeper struct {
	cfg        Config
	crashCount tally.Counter // crashes detected by this process
	holdCount  tally.Counter // holds that began by crashes

	mu         sync.Mutex
	era        uint64 // era of the platform's list that was applied last
	core       *quarantine.Core
	lastForget time.Time                     // of the last scan for old state
	partNames  map[quarantine.Content]string // ids of parts of prompts at which sends broke off
}

// forgetInterval is the minimum time between two scans for old state, which read all suspects, up to some
// thousands.
const forgetInterval = time.Second

// New returns a keeper without suspects.
func New(cfg Config) *Keeper {
	if cfg.CheckReachable == nil {
		cfg.CheckReachable = func(ctx context.Context, _ quarantine.Incarnation, address string, timeout time.Duration) error {
			return upstream.CheckReachable(ctx, address, timeout)
		}
	}
	return &Keeper{cfg: cfg, core: quarantine.New(), partNames: make(map[quarantine.Content]string), crashCount: cfg.Scope.Counter("upstream_crashes"), holdCount: cfg.Scope.Counter("work_held")}
}

// withCore calls f with the core, under the lock.
func (k *Keeper) withCore(f func(c *quarantine.Core)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.core)
}

// HasSuspects reports whether there is any suspect or any work that needs a liveness connection. If
// not, callers needn't compute the Content of requests.
func (k *Keeper) HasSuspects() (any bool) {
	k.withCore(func(c *quarantine.Core) { any = c.HasSuspects() })
	return any
}

// Held reports whether some work or one of the parts of its prompt is held.
func (k *Keeper) Held(content quarantine.Content, parts ...quarantine.Content) bool {
	_, _, ok := k.activeHold(time.Now(), content, parts)
	return ok
}

// activeHold returns the hold in force of some work or of a part of its prompt, and which of them is held.
func (k *Keeper) activeHold(now time.Time, content quarantine.Content, parts []quarantine.Content) (hold quarantine.Hold, held quarantine.Content, ok bool) {
	k.withCore(func(c *quarantine.Core) {
		held = content
		hold, ok = c.ActiveHold(now, content)
		for i := 0; i < len(parts) && !ok; i++ {
			held = parts[i]
			hold, ok = c.ActiveHold(now, parts[i])
		}
	})
	return hold, held, ok
}

// Refusal returns the error for work that is held, itself or for a part of its prompt, or nil if it isn't. Its
// retry-after time is the end of the hold, which is long after the deadline of most requests.
func (k *Keeper) Refusal(content quarantine.Content, parts ...quarantine.Content) *errkind.Error {
	now := time.Now()
	hold, held, ok := k.activeHold(now, content, parts)
	if !ok {
		return nil
	}
	why := "upstreams crashed under the same work"
	if held.IsPart() {
		why = "upstreams crashed under requests with the same part of the prompt (" + held.String() + ")"
	}
	return errkind.New(errkind.Quarantined, errkind.NotRun, why).WithRetryAfter(hold.Until.Sub(now))
}

// PartsAnswered records that a request with the given parts of its prompt was answered completely.
func (k *Keeper) PartsAnswered(parts []quarantine.Content) {
	k.withCore(func(c *quarantine.Core) { c.PartsAnswered(time.Now(), parts) })
}

// Succeeded records that some work was answered completely, ends its hold and removes the hold from the platform in the
// background.
func (k *Keeper) Succeeded(content quarantine.Content) {
	var voided []quarantine.Crash
	lifted := false
	k.withCore(func(c *quarantine.Core) { voided, lifted = c.Succeeded(time.Now(), content) })
	if len(voided) > 0 {
		logline.Info("work cleared", "content", content, "crashes", len(voided), "held", lifted, "why", "it was answered completely")
		k.broadcast(voided)
	}
	k.carryOut(true)
}

// SendBroken records that a send broke off before its answer was complete. It returns true if the caller has to
// check whether the upstream has ended.
func (k *Keeper) SendBroken(content quarantine.Content, incarnation quarantine.Incarnation, sent time.Time) (check bool) {
	var newCrashes []quarantine.Crash
	k.withCore(func(c *quarantine.Core) { newCrashes, check = c.SendBroken(time.Now(), content, incarnation, sent) })
	k.reportCrashes(newCrashes, incarnation, "it had already ended")
	return check
}

// sendWithPartsBroken is SendBroken for a request with parts of its prompt.
func (k *Keeper) sendWithPartsBroken(b *BrokenSend) (check bool) {
	var newCrashes []quarantine.Crash
	parts := make([]quarantine.Content, len(b.Parts))
	for i, id := range b.Parts {
		parts[i] = quarantine.PartContent(id)
	}
	k.withCore(func(c *quarantine.Core) {
		k.namePartsLocked(b.Parts, parts)
		newCrashes, check = c.SendWithPartsBroken(time.Now(), b.Content, parts, b.Incarnation, b.Sent)
	})
	k.reportCrashes(newCrashes, b.Incarnation, "it had already ended")
	return check
}

// maxPartNames limits the parts whose ids are kept for log lines.
const maxPartNames = 4096

// namePartsLocked keeps the ids of parts for log lines. Callers hold mu.
func (k *Keeper) namePartsLocked(ids []string, parts []quarantine.Content) {
	if len(k.partNames) >= maxPartNames {
		clear(k.partNames)
	}
	for i, part := range parts {
		k.partNames[part] = ids[i]
	}
}

// partName returns the id of a part as log lines have it; empty: the content isn't that of a part, or this process sent
// no request with it that broke off.
func (k *Keeper) partName(content quarantine.Content) (name string) {
	k.withCore(func(*quarantine.Core) { name = k.partNames[content] })
	return name
}

// UpstreamEnded records that the process of an upstream ended other than by a planned stop. reason is logged.
func (k *Keeper) UpstreamEnded(incarnation quarantine.Incarnation, reason string) {
	var newCrashes []quarantine.Crash
	k.withCore(func(c *quarantine.Core) { newCrashes = c.UpstreamEnded(time.Now(), incarnation) })
	k.reportCrashes(newCrashes, incarnation, reason)
}

// UpstreamRestarted records that the process of an upstream ended other than by a planned stop, as the list of upstreams
// has the incarnation next, which started at the given time by its own clock.
func (k *Keeper) UpstreamRestarted(incarnation, next quarantine.Incarnation, startedAt time.Time) {
	var newCrashes []quarantine.Crash
	k.withCore(func(c *quarantine.Core) { newCrashes = c.UpstreamRestarted(time.Now(), incarnation, next, startedAt) })
	k.reportCrashes(newCrashes, incarnation, "it is listed with a later start")
}

// UpstreamAlive records that an upstream began to answer a request that was sent at the given time.
func (k *Keeper) UpstreamAlive(incarnation quarantine.Incarnation, sent time.Time) {
	k.withCore(func(c *quarantine.Core) { c.UpstreamAlive(incarnation, sent) })
}

// UpstreamAnswered is UpstreamAlive for an answer that a later incarnation of the upstream may have given.
func (k *Keeper) UpstreamAnswered(incarnation quarantine.Incarnation, sent time.Time) {
	k.withCore(func(c *quarantine.Core) { c.UpstreamAnswered(time.Now(), incarnation, sent) })
}

// UpstreamStopped records a planned stop of an upstream.
func (k *Keeper) UpstreamStopped(incarnation quarantine.Incarnation) {
	k.withCore(func(c *quarantine.Core) { c.UpstreamStopped(time.Now(), incarnation) })
}

// UpstreamsToCheck returns the upstreams at which sends broke off and that may have ended.
func (k *Keeper) UpstreamsToCheck() (incarnations []quarantine.Incarnation) {
	k.withCore(func(c *quarantine.Core) { incarnations = c.UpstreamsToCheck() })
	return incarnations
}

// Forget drops state that is too old to count, at most once per forgetInterval.
func (k *Keeper) Forget(now time.Time) {
	k.withCore(func(c *quarantine.Core) {
		if now.Sub(k.lastForget) >= forgetInterval {
			k.lastForget = now
			c.Forget(now)
		}
	})
}

// reportCrashes logs and counts crashes that this process detected, reports them to other instances and starts
// the holds that they justify.
func (k *Keeper) reportCrashes(crashes []quarantine.Crash, incarnation quarantine.Incarnation, reason string) {
	if len(crashes) == 0 {
		return
	}
	now := time.Now()
	k.crashCount.Inc(int64(len(crashes)))
	for i := range crashes {
		c := &crashes[i]
		logline.Info("upstream crashed", "upstream", incarnation, "content", c.Content, "part", k.partName(c.Content),
			"sent_ms", now.Sub(c.Sent).Milliseconds(), "broke_off_ms", now.Sub(c.At).Milliseconds(), "why", reason)
	}
	k.broadcast(crashes)
	k.carryOut(true)
}

// broadcast reports crashes to other instances.
func (k *Keeper) broadcast(crashes []quarantine.Crash) {
	if k.cfg.Broadcast != nil {
		k.cfg.Broadcast(crashes)
	}
}

// MergeCrashes records the crashes that another instance reported, and returns those that are new here or
// newly void. If they are void because the work was answered completely, that ends its hold here. The instance that
// reports so removes the hold from the platform; this one does so too, somewhat later, if the hold is still there.
func (k *Keeper) MergeCrashes(now time.Time, crashes []quarantine.Crash) (newCrashes []quarantine.Crash) {
	k.withCore(func(c *quarantine.Core) { newCrashes = c.MergeCrashes(now, crashes) })
	if len(newCrashes) > 0 {
		k.carryOut(false)
	}
	return newCrashes
}
