package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/origins"
	"github.com/ragworttrestle/ragworttrestle/internal/process/streams"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

const (
	// resumeGrace is how long a row is kept after the wait that its caller declared. Callers may resume streams later
	// than that, and clocks and messages are late.
	resumeGrace = time.Minute
	// undeclaredWait is how long the callers of a route without a timeout are assumed to wait if they don't declare it.
	undeclaredWait = time.Minute
	// maxOriginQueries limits the questions that wait for answers.
	maxOriginQueries = 1024
)

// streamOrigins keeps the origins of streams (package streams) and asks other instances for them.
type streamOrigins struct {
	mu        sync.Mutex
	core      *streams.Core
	pending   map[uint64]chan streams.Answer // where answers are delivered, by query id
	lastID    uint64                         // of the newest query
	scheduled bool                           // due rows will be sent after rowDelay
	forgotAt  time.Time                      // when expired rows were last dropped
}

// newStreamOrigins returns an empty streamOrigins whose queries get ids greater than first.
func newStreamOrigins(first uint64) *streamOrigins {
	return &streamOrigins{core: streams.New(), pending: make(map[uint64]chan streams.Answer), lastID: first}
}

// with calls f with the core while holding mu.
func (s *streamOrigins) with(f func(now time.Time, core *streams.Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Now(), s.core)
}

// forgetRowsInterval is the minimum time between two scans for expired rows, up to some ten thousand.
const forgetRowsInterval = time.Second

// forget drops expired rows, at most once per forgetRowsInterval.
func (s *streamOrigins) forget() {
	s.with(func(now time.Time, core *streams.Core) {
		if now.Sub(s.forgotAt) >= forgetRowsInterval {
			s.forgotAt = now
			core.Forget(now)
		}
	})
}

// register returns the id of a new query and the channel on which at most n answers are delivered; ok is false if too
// many queries wait.
func (s *streamOrigins) register(n int) (id uint64, answers chan streams.Answer, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxOriginQueries {
		return 0, nil, false
	}
	s.lastID++
	answers = make(chan streams.Answer, 2*n) // each instance may be asked twice
	s.pending[s.lastID] = answers
	return s.lastID, answers, true
}

// unregister ends the delivery of answers to a query.
func (s *streamOrigins) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// deliver passes an answer to the request that waits for it, if any.
func (s *streamOrigins) deliver(id uint64, a streams.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.pending[id] <- a:
	default: // nobody waits for it, or there are enough answers
	}
}

// scheduleRows reports whether the caller has to send the due rows after rowDelay; otherwise somebody else does.
func (s *streamOrigins) scheduleRows() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.scheduled
	s.scheduled = true
	return !was
}

// takeDue returns the rows to send to their holders now.
func (s *streamOrigins) takeDue() []streams.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduled = false
	return s.core.TakeDue(time.Now())
}

// uncopiedServices returns the services with own rows that holders don't have.
func (s *streamOrigins) uncopiedServices() (services []string) {
	s.with(func(_ time.Time, core *streams.Core) { services = core.UncopiedServices() })
	return services
}

// hasSoftware reports whether an upstream of a service with a version of software is listed that isn't leaving. Without a list of upstreams, it returns true.
func (s *state) hasSoftware(service, software string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.listed || s.fleet.HasSoftware(service, software)
}

// ownAnswer returns what this instance knows of the origin of a stream.
func (e *Entry) ownAnswer(key streams.Key) (a streams.Answer) {
	e.streams.with(func(now time.Time, core *streams.Core) {
		if origin, found := core.Find(now, key); found {
			a = streams.Answer{Basis: streams.ByRow, Origin: origin}
		}
	})
	return a
}

// continuesStream reports whether the caller resumes a stream.
func (q *request) continuesStream() bool {
	return q.info.LastEvent != "" && q.route.Kind == routing.Streaming
}

// streamKey returns the key of the stream that the request begins or resumes.
func (q *request) streamKey() streams.Key {
	attempt := q.info.ID
	if q.continuesStream() {
		attempt = q.info.Resumes
	}
	if attempt == "" {
		return 0
	}
	return streams.KeyOf(q.account.NameOrNone(), attempt)
}

// resolveOrigin finds where the stream began that the caller resumes, and restricts the request to upstreams that may
// continue it. It returns an error if the stream can't be continued. A row decides. Without one, the stream began at the
// only origin that is possible by the platform's record, if there is only one.
func (q *request) resolveOrigin(ctx context.Context) *errkind.Error {
	key := q.streamKey()
	own := q.e.ownAnswer(key)
	var others []streams.Answer
	asked := 0
	if own.Basis != streams.ByRow {
		others, asked = q.e.askOrigin(ctx, key, q.service)
	}
	origin, found := streams.Resolve(own, others)
	q.resumption = &resumption{origin: origin, basis: streams.ByRow, asked: asked, answered: len(others)}
	if !found {
		if refusal := q.originByPlatform(ctx, key); refusal != nil {
			return refusal
		}
	}
	origin = q.resumption.origin
	switch {
	case ctx.Err() != nil:
		return q.contextError(ctx)
	case origin.Software == "":
		return errkind.New(errkind.CannotContinue, errkind.NotRun, "it isn't known with which version of software the stream began")
	case !q.route.HasTarget(origin.Service):
		return errkind.New(errkind.CannotContinue, errkind.NotRun, "the route no longer leads to the service at which the stream began")
	}
	q.service, q.origin = origin.Service, &origin
	return nil
}

const (
	// originWaitShare is the share of the time left that a caller waits for the platform to say where the stream began.
	// The rest is for a place, the rest of the stream, or another attempt.
	originWaitShare = 1.0 / 6
	// minOriginWait is how long a caller waits at least, and while the platform can't be read.
	minOriginWait = 150 * time.Millisecond
)

// originWait returns how long the request may wait for the platform to say where its stream began.
func (q *request) originWait(now time.Time) time.Duration {
	if q.e.state.platformUnreadable() {
		return minOriginWait
	}
	left, limited := q.timeLeft(now)
	if !limited {
		return sharedReadTimeout
	}
	return max(time.Duration(originWaitShare*float64(left)), minOriginWait)
}

// originByPlatform sets the origin of a stream of which no instance has a row by what the platform has: a stored row, or
// the only possible origin. A row goes first, as the record only says what isn't known to have been. It leaves the origin
// empty if nothing is known, and returns an error if the platform couldn't be read: the caller may then come back.
func (q *request) originByPlatform(ctx context.Context, key streams.Key) *errkind.Error {
	began := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, q.originWait(began))
	defer cancel()
	err := q.readOrigin(waitCtx, key)
	if err != nil && !q.e.state.platformUnreadable() && platform.Sleep(waitCtx, addJitter(minRetryPause)) == nil {
		err = q.readOrigin(waitCtx, key) // the platform may refuse a single call
	}
	q.resumption.platformWait = time.Since(began)
	switch {
	case ctx.Err() != nil:
		return q.contextError(ctx)
	case err != nil:
		q.resumption.basis, q.resumption.err = streams.NoOpinion, err
		return errkind.New(errkind.CannotContinue, errkind.NotRun, "the platform can't be asked where the stream began").WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// readOrigin reads from the platform what originByPlatform sets.
func (q *request) readOrigin(ctx context.Context, key streams.Key) error {
	recent, hasRecent := q.e.streamStore.recentRows(time.Now())
	var read *sharedRead[[]streams.StoredRows]
	if !hasRecent {
		read = q.e.streamStore.readFor(key) // beside the read of the record
	}
	sole, err := q.soleByRecord(ctx)
	switch {
	case err != nil:
		return err
	case hasRecent && sole.Software != "": // the newest rows can't name another origin
		stored, found := streams.FindStored(time.Now(), recent, key)
		q.setStoredOrSole(stored, found, sole)
		return nil
	case read == nil:
		read = q.e.streamStore.readFor(key)
	}
	stored, found, err := findStored(ctx, read, key)
	if err != nil && ctx.Err() != nil && hasRecent {
		if _, inRecent := streams.FindStored(time.Now(), recent, key); !inRecent {
			return nil // it isn't known; the newest rows would have taken longer than the caller can wait
		}
	}
	if err == nil {
		q.setStoredOrSole(stored, found, sole)
	}
	return err
}

// setStoredOrSole sets the origin of the stream: that of a stored row or, if there is none, the only possible one.
func (q *request) setStoredOrSole(stored streams.Origin, found bool, sole streams.Origin) {
	switch {
	case found:
		q.resumption.basis, q.resumption.origin = streams.ByStoredRow, stored
	case sole.Software != "":
		q.resumption.basis, q.resumption.origin = streams.ByRecord, sole
	}
}

// soleByRecord returns the only possible origin of the stream by the platform's record; without a version: there are
// several.
func (q *request) soleByRecord(ctx context.Context) (streams.Origin, error) {
	origin, ok, err := q.e.originReader.sole(ctx, q.route.NormalHost(), q.r.URL.Path)
	if !ok || err != nil {
		return streams.Origin{}, err
	}
	return streams.Origin{Service: origin.Service, Software: origin.Software}, nil
}

// resumption is what was found out about the stream that a request resumes.
type resumption struct {
	origin          streams.Origin
	basis           streams.Basis
	asked, answered int           // other instances
	platformWait    time.Duration // for what the platform has; 0: it wasn't asked
	err             error         // of reading the record of versions, or the stored rows
}

// fields returns the log fields of a resumption of the attempt with the given id.
func (r *resumption) fields(resumes string) []any {
	fields := []any{"resumes", resumes, "began_service", r.origin.Service, "began_software", r.origin.Software,
		"known_by", r.basis.String(), "asked", r.asked, "answered", r.answered, "platform_ms", r.platformWait.Milliseconds()}
	if r.err != nil {
		fields = append(fields, "record_error", r.err)
	}
	return fields
}

// recordOrigin records the origin of a stream of which the caller is about to get the first event of this response.
func (q *request) recordOrigin(held *heldPlace) {
	if !q.route.Resumable {
		return
	}
	if q.origin == nil {
		q.origin = &streams.Origin{Service: q.service, Software: held.upstream().Software}
	}
	key := q.streamKey()
	if key == 0 {
		return
	}
	inDoubt := !q.soleOrigin(held)
	q.e.streams.with(func(now time.Time, core *streams.Core) { core.Began(now, key, *q.origin, q.rowLife(), inDoubt) })
	if inDoubt {
		q.e.peers.scheduleStreamRows()
		q.e.streamStore.wakeUp()
	}
}

// rowLife returns how long the row of the request's stream is to be kept.
func (q *request) rowLife() time.Duration {
	wait := q.info.TimeLeft
	if wait == 0 {
		wait = undeclaredWait
	}
	return wait - time.Since(q.arrived) + resumeGrace
}

// errOriginNotStored: the platform's store may say that the stream began elsewhere, and couldn't be told otherwise.
var errOriginNotStored = errors.New("the platform's store couldn't be told that the stream may begin at another version of software")

// announceOrigin announces the origin that a new stream will have if the upstream of a place answers, so that its row can
// be in the platform's store when the first event comes. That isn't waited for. Only if another origin was announced before,
// by an earlier send, the store has to be told first; if that fails, the request is restricted to the origin that was
// announced last.
func (q *request) announceOrigin(ctx context.Context, held *heldPlace) error {
	key := q.streamKey()
	if !q.route.Resumable || q.origin != nil || key == 0 || q.announced == nil && q.soleOrigin(held) {
		return nil
	}
	origin := streams.Origin{Service: q.service, Software: held.upstream().Software}
	var needed streams.Row
	var isNeeded bool
	q.e.streams.with(func(now time.Time, core *streams.Core) {
		needed, isNeeded = core.Announce(now, key, origin, q.rowLife(), q.queueID)
	})
	q.e.streamStore.wakeUp()
	if isNeeded {
		if err := q.e.streamStore.storeRow(ctx, needed); err != nil {
			logline.Info("origin of a stream not stored", "request", q.info.ID, "software", origin.Software, "error", err)
			q.origin = q.announced
			return errOriginNotStored
		}
		q.e.streams.with(func(_ time.Time, core *streams.Core) { core.Settled(key) })
	}
	q.announced = &origin
	return nil
}

// withdrawOrigin withdraws what was announced if no event was passed on.
func (q *request) withdrawOrigin() {
	if q.announced != nil && !q.response.core.Started() {
		q.e.streams.with(func(_ time.Time, core *streams.Core) { core.Withdrawn(q.streamKey()) })
		q.e.streamStore.wakeUp()
	}
}

// recordStreamEnd records that the caller has the whole stream.
func (q *request) recordStreamEnd() {
	if q.origin != nil && q.route.Resumable {
		q.e.streams.with(func(_ time.Time, core *streams.Core) { core.Ended(q.streamKey()) })
	}
}

// soleOrigin reports whether, by what this instance knows, the platform's record alone will tell where a stream began that
// begins now at a place. An instance without a list of upstreams relies on the placer for the versions.
func (q *request) soleOrigin(h *heldPlace) (sole bool) {
	host, path := q.route.NormalHost(), q.route.PathPrefix
	if q.r != nil {
		path = q.r.URL.Path
	}
	if h.placer != "" && !q.e.state.upstreamsListed() {
		return h.sole && q.e.state.leadsToOneService(host, path)
	}
	q.e.origins.with(func(now time.Time, core *origins.Core) { _, sole = core.Sole(now, host, path) })
	return sole
}

// soleSoftware reports whether all streams of a service began at the same version of software, by what an instance that
// follows the list of upstreams knows.
func (e *Entry) soleSoftware(service string) (sole bool) {
	e.origins.with(func(now time.Time, core *origins.Core) { sole = core.SoleSoftware(now, service) })
	return sole
}
