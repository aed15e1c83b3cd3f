package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/streams"
	"github.com/ragworttrestle/ragworttrestle/internal/request/buffer"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// Causes of the end of a request's context.
var (
	errTimeLimit  = errors.New("the time limit of the request has passed")
	errHardStop   = errors.New("the process stops")
	errCallerLeft = errors.New("the caller left")
)

// request is one request of a caller.
type request struct {
	e           *Entry
	queueID     string // id in the queue; callers' ids may not be unique
	w           http.ResponseWriter
	r           *http.Request
	arrived     time.Time
	config      *routing.Config
	route       *routing.Route
	service     string
	account     *routing.Account // of the caller; nil: none
	info        exchange.RequestInfo
	prompt      place.Prompt
	body        *buffer.Buffer
	held        *caller.Request      // what is booked for it
	contentID   quarantine.Content   // see content; zero: not computed yet
	partKeys    []quarantine.Content // see partContents; nil: not computed yet
	spentBefore time.Duration        // time that the caller has spent on earlier attempts, as far as known
	deadline    time.Time            // the earlier of the caller's deadline and the route's; zero: none

	refusal          *place.Decision // the last refusal of a place; nil: none
	lastUpstream     string          // id of the last upstream that the request was sent to
	relay            string          // address of the instance through which the last send went; empty: over the own link
	sentTo           []string        // addresses of upstreams to which it was sent over the own link
	sentToBefore     bool            // the upstream of the last send got an earlier one over the own link
	keptConnection   bool            // the last response came on a connection that carried earlier requests
	sends            int
	prefills         int                 // sends of a prefill that may have reached an engine
	prefilled        bool                // an engine accepted a prefill, so that any further prefill is a retry
	reservedRetries  int                 // further sends that the service's retry limit allowed and that haven't reached an upstream
	countedRetries   int                 // further sends that have
	retryReservedAt  boottime.Time       // when a further send was last reserved
	longestRetryWait time.Duration       // from the reservation of a further send to its arrival
	possibleRuns     int                 // sends that may have run the request
	excluded         []fleet.Incarnation // upstreams that it is not to be sent to again
	runState         errkind.RunState    // the worst of all sends
	sentAt           time.Time           // when the last send began
	decoderPrefills  bool                // the decoding engine prefills the prompt
	keptKV           *remoteKV           // KV cache of its prompt, kept for the next engine to fetch; nil: none
	kvWasKept        bool                // a KV cache was kept after an engine refused to fetch it
	excludedBeforeKV int                 // length of excluded without the engines that refused to fetch the kept KV cache
	demandCounted    bool                // its engine time was counted as demand
	usageCounted     bool                // it was counted as usage of its account
	fetchingKV       bool                // in the last send, the upstream was to fetch the prompt's KV cache
	response         *responseRelay      // what the caller gets
	placeWait        time.Duration       // total wait for places
	resumption       *resumption         // what was found out about the stream that the caller resumes; nil: it resumes none
	origin           *streams.Origin     // where the stream began that the request continues from now on; nil: none yet
	announced        *streams.Origin     // the origin that was announced last, see announceOrigin; nil: none
	reservedFor      time.Duration       // how long a place for the decode was reserved during the prefill
	prefillTime      time.Duration       // duration of separate prefills, without waits for places
	firstEventAfter  time.Duration       // from arrived to the first event of the response
}

// prepare reads and validates a request. Nothing is sent to an upstream before it succeeds. With an
// error, it also returns the request, as far as it was read.
func (e *Entry) prepare(w http.ResponseWriter, r *http.Request, arrived time.Time) (*request, error) {
	queueID := strconv.FormatUint(e.lastQueueID.Add(1), 10)
	q := &request{e: e, queueID: queueID, w: w, r: r, arrived: arrived, runState: errkind.NotRun}
	q.response = &responseRelay{req: q}
	q.held = caller.RequestOf(r.Context())
	if e.stage.Load() >= stageClosing {
		// Its response might be too long for the rest of the grace period.
		return q, drainingRefusal()
	}
	q.config = e.state.config.Load()
	if q.config == nil {
		return q, errkind.New(errkind.ConfigUnavailable, errkind.NotRun, "this instance has no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	var ok bool
	if q.route, ok = q.config.Match(r.Host, r.URL.Path); !ok {
		return q, errkind.Field(errkind.NotFound, "path", "no route serves this host and path")
	}
	if err := q.authenticate(); err != nil {
		return q, err
	}
	var err error
	if q.info, err = e.cfg.Dialect.RequestInfo(r.Header); err != nil {
		return q, err
	}
	q.service = q.route.Pick(q.info.ID)
	q.spentBefore = e.state.timeSpent(q.route.Name, q.info.TimeLeft)
	q.prompt = promptOf(&q.info)
	q.deadline = q.computeDeadline()
	return q, q.readBody()
}

// drainingRefusal returns the refusal of a request that would begin too late in a graceful shutdown.
func drainingRefusal() *errkind.Error {
	return errkind.New(errkind.Draining, errkind.NotRun, "this instance stops").WithRetryAfter(defaultRetryAfter)
}

// authenticate finds the caller's client account by the API key of the request. An unknown key is refused
// even on routes that require no key, as it may have been revoked.
func (q *request) authenticate() error {
	if !q.config.NeedsKeys() {
		return nil
	}
	key, present := q.e.cfg.Dialect.Key(q.r.Header)
	if !present && q.route.Anonymous {
		return nil
	}
	account, known := q.config.Account(routing.DigestOf(key))
	if !known {
		return errkind.New(errkind.Unauthenticated, errkind.NotRun, "the API key is missing or unknown")
	}
	q.account = account
	return nil
}

// content returns the identity of the work that the request asks for. Every attempt at that work has
// the same identity, whichever instance it reaches and whatever its request id is.
func (q *request) content() quarantine.Content {
	if q.contentID == (quarantine.Content{}) {
		q.contentID = quarantine.ContentOf(q.r.Method, q.r.Host, q.r.URL.RequestURI(), q.body.Pieces()...)
	}
	return q.contentID
}

// computeDeadline returns the earlier of the caller's deadline and the one that the route's timeout
// sets; zero: there is none.
func (q *request) computeDeadline() time.Time {
	left := q.route.Timeout
	if d := q.info.TimeLeft; d > 0 && (left == 0 || d < left) {
		left = d
	}
	if left == 0 {
		return time.Time{}
	}
	return q.arrived.Add(left)
}

// readBody reads the whole body. So the body can be sent more than once, and a request whose body doesn't
// arrive completely isn't sent at all. Its bytes are booked before they are held.
func (q *request) readBody() error {
	limit := min(bodyLimit(q.config), q.e.guards.callers.LargestBody())
	if q.r.ContentLength > limit {
		q.drainBody()
		return errBodyTooLarge()
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	if t := q.bodyDeadline(); !t.IsZero() {
		// Some writers don't support deadlines, such as the recorder of httptest.
		_ = http.NewResponseController(q.w).SetReadDeadline(t)
		defer func() { _ = http.NewResponseController(q.w).SetReadDeadline(time.Time{}) }()
	}
	q.held.BeginBody(q.account.NameOrNone())
	err := q.readBookedBody(limit)
	if !q.held.EndBody() {
		err = caller.ErrClosing
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, buffer.ErrTooLarge):
		q.drainBody()
		return errBodyTooLarge()
	case errors.Is(err, buffer.ErrNoRoom):
		q.body = nil
		q.held.Unbook(budget.Bodies)
		q.drainBody()
		return errNoRoom("there is no room for the body now")
	case errors.Is(err, caller.ErrClosing):
		q.w.Header().Set("Connection", "close")
		return errNoRoom("the body made no progress, and there is no room to wait for it")
	}
	return errkind.Wrap(err, errkind.Canceled, errkind.NotRun, "the body did not come whole")
}

// bodyLimit returns the limit on bodies that a configuration sets.
func bodyLimit(c *routing.Config) int64 {
	if n := c.Limits.BodyBytes; n > 0 {
		return n
	}
	return defaultBodyBytes
}

// readBookedBody reads the body into pieces that are booked. The length that a caller announces is booked at once, so
// that of many callers that send at the same time some come to their end.
func (q *request) readBookedBody(limit int64) error {
	book := func(n int64) bool { return q.held.Book(budget.Bodies, n) }
	length := max(0, q.r.ContentLength)
	if !book(length) {
		return buffer.ErrNoRoom
	}
	var err error
	q.body, err = buffer.Read(q.r.Body, buffer.Options{Length: length, Limit: limit, Book: book})
	return err
}

// errNoRoom returns the error of a request that is refused for lack of room.
func errNoRoom(message string) error {
	return errkind.New(errkind.Overloaded, errkind.NotRun, message).WithRetryAfter(caller.RetryAfter)
}

// drainBody reads and drops a body that is refused, up to drainBytes and for drainTimeout at most: a
// connection that is closed with unread bytes is reset, and the caller may never see the response.
func (q *request) drainBody() {
	if q.r.Header.Get("Expect") != "" {
		return // the caller waits to be asked for the body
	}
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, q.r.Body, drainBytes) // the refusal is sent however much could be read
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Time{})
}

// Limits of drainBody: about what a caller on a slow link sends in a second.
const (
	drainBytes   = 8 << 20
	drainTimeout = time.Second
)

// bodyDeadline returns when the body has to be complete.
func (q *request) bodyDeadline() time.Time {
	if q.deadline.IsZero() {
		return q.arrived.Add(defaultBodyTimeout)
	}
	return q.deadline
}

func errBodyTooLarge() error {
	return errkind.Field(errkind.RequestTooLarge, "body", "the body is larger than the configuration allows")
}

// context returns a context that ends when the caller disconnects, at the deadline, and when a
// graceful shutdown exceeds its time.
func (q *request) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(q.r.Context())
	stop := context.AfterFunc(q.e.hardStopCtx, func() { cancel(errHardStop) })
	var timer *time.Timer
	if !q.deadline.IsZero() {
		timer = time.AfterFunc(time.Until(q.deadline), func() { cancel(errTimeLimit) })
	}
	return ctx, func() {
		stop()
		if timer != nil {
			timer.Stop()
		}
		cancel(context.Canceled)
	}
}

// timeLeft returns the time until the deadline, and false if there is no deadline.
func (q *request) timeLeft(now time.Time) (time.Duration, bool) {
	if q.deadline.IsZero() {
		return 0, false
	}
	return q.deadline.Sub(now), true
}

// startByShare is the share of its objective that a request may wait for a place. The rest is for
// the work itself, and for queues at upstreams.
const startByShare = 0.45

// continueWait is how long a request that continues a stream may wait for a place. Only some upstreams can serve it,
// and its caller has a part of the response already. Callers abandon a stream after a gap of two seconds or more.
const continueWait = time.Second

// startBy returns the time until which the request may wait for a place.
func (q *request) startBy() time.Time {
	wait := time.Duration(float64(q.route.Objective) * startByShare)
	if wait <= 0 {
		wait = defaultStartWait
	}
	return q.arrived.Add(wait)
}

// query returns the query for a place at an upstream that does the given work.
func (q *request) query(work place.Work) place.Query {
	startBy, software := q.startBy(), ""
	if q.origin != nil {
		startBy, software = time.Now().Add(continueWait), q.origin.Software
	}
	if !q.deadline.IsZero() && q.deadline.Before(startBy) {
		startBy = q.deadline
	}
	return place.Query{
		ID: q.queueID, Service: q.service, Zone: q.e.cfg.Settings.Instance.Zone,
		Urgency: q.account.Rank(q.route), Prompt: q.prompt, Work: work, Software: software,
		Arrived: q.arrived, StartBy: startBy, Excluded: q.excluded, Gap: q.eventGap(),
		Late: q.pastObjective(), Retry: q.spentBefore >= minRetrySpent, Deadline: q.deadline, Objective: q.route.Objective, KVCapacity: q.kvTokens(),
	}
}

// minRetrySpent is the least time spent on earlier attempts for which a request counts as a retry after
// a Retry-After. No Retry-After is shorter, and a shorter time may only mean that the callers of one route
// declare slightly different times left.
const minRetrySpent = 100 * time.Millisecond

// kvTokens returns the number of tokens that the KV cache of an engine of the service holds; 0: unknown.
func (q *request) kvTokens() int {
	if s, ok := q.config.Services[q.service]; ok && s.Engine != nil {
		return s.Engine.KVTokens
	}
	return 0
}

// pastObjective reports whether the response can't meet the objective any more, because the caller has
// already spent that time on attempts that this or another instance refused.
func (q *request) pastObjective() bool {
	return q.route.Objective > 0 && q.spentBefore >= q.route.Objective
}

// eventGap returns the longest average time between events with which the response still ends before the
// deadline; 0: unknown, or the response is too short for the time to matter. The response is assumed to
// have the caller's maximum length, or expectedOutputMargin times the caller's estimate if that is less.
func (q *request) eventGap() time.Duration {
	s, ok := q.config.Services[q.service]
	if !ok || s.Engine == nil || s.Engine.EventStride <= 0 || q.deadline.IsZero() {
		return 0
	}
	tokens := q.info.MaxOutput
	if expected := q.info.ExpectedOutput; expected > 0 {
		tokens = min(tokens, expectedOutputMargin*expected)
	}
	events := tokens / s.Engine.EventStride
	if events < minEventsForGap {
		return 0
	}
	return q.deadline.Sub(q.arrived) / time.Duration(events)
}

// expectedOutputMargin is the factor by which the output is assumed to exceed the caller's estimate at
// most. The median of the estimates is right, but many are far off.
const expectedOutputMargin = 2

// minEventsForGap is the least number of events for which eventGap returns a time: shorter responses meet
// the deadline at the pace of any engine.
const minEventsForGap = 20

// promptOf returns what package place needs to know about the prompt of a request.
func promptOf(info *exchange.RequestInfo) place.Prompt {
	key, shared, own := info.SharedParts()
	p := place.Prompt{Key: key, UnsharedTokens: own, Parts: make([]place.Part, len(shared))}
	for i, part := range shared {
		p.Parts[i] = place.Part{Key: place.KeyOfPart(part.ID), Tokens: part.Tokens}
	}
	return p
}

// contextError returns the final error if the context has ended; nil: it hasn't.
func (q *request) contextError(ctx context.Context) *errkind.Error {
	if ctx.Err() == nil {
		return nil
	}
	switch context.Cause(ctx) {
	case errTimeLimit:
		return errkind.New(errkind.DeadlineExceeded, q.runState, "the time limit of the request has passed")
	case errHardStop:
		return errkind.New(errkind.Draining, q.runState, "this instance stops")
	}
	return errkind.Wrap(errCallerLeft, errkind.Canceled, q.runState, "the caller closed the connection")
}
