package claim

import (
	"bytes"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// Defaults of a SessionConfig.
const (
	DefaultSendWindow = time.Minute
	DefaultClaimWait  = 2 * time.Second
	DefaultRetryDelay = 50 * time.Millisecond
	DefaultMaxMoves   = 2
)

// claimRetryAfter is the Retry-After of a request that is refused because its claim
// cannot be recorded.
const claimRetryAfter = 5 * time.Second

// SessionConfig configures a Session and describes its request. Durations and limits
// that are zero get their defaults.
type SessionConfig struct {
	Gateway    string                             // name of this gateway
	Account    string                             // client account of the caller
	Key        Key                                // see KeyOf
	Body       Hash                               // see HashOf
	RunID      string                             // unique to the session; see NewRunID
	Traits     func(runner string) UpstreamTraits // returns what a runner supports
	FirstSend  bool                               // the caller states that it never sent this key before
	SendWindow time.Duration                      // a run is sent only within this time of the first claim operation; a claim is kept far longer, see MinKeep
	ClaimWait  time.Duration                      // how long to retry an operation while the claim cannot be recorded
	RetryDelay time.Duration                      // between two attempts at an operation, a send or a resume
	MaxMoves   int                                // how often the claim may move after sends that did not run
}

func (c SessionConfig) withDefaults() SessionConfig {
	if c.SendWindow == 0 {
		c.SendWindow = DefaultSendWindow
	}
	if c.ClaimWait == 0 {
		c.ClaimWait = DefaultClaimWait
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = DefaultRetryDelay
	}
	if c.MaxMoves == 0 {
		c.MaxMoves = DefaultMaxMoves
	}
	return c
}

// phase is the state of a session. The comment of each phase names the events that the
// session waits for in it. DeadlinePassed and Canceled are processed in every phase
// except phaseOver.
type phase int

const (
	phaseChoosing  phase = iota // Chosen or ChooseFailed
	phaseClaiming               // ClaimAnswered or ClaimUnanswered
	phaseSending                // Started, SendRefused, SendWindowClosed or SendAmbiguous
	phaseResuming               // Started, ResumeUnknownRun or ResumeFailed
	phaseStreaming              // Finished or StreamBroken
	phaseWaiting                // WaitElapsed; the session then calls afterWait
	phaseOver                   // none: the session has ended
)

// Session handles one request with an Idempotency-Key at a gateway. Every session ends
// with exactly one Refuse or Done. It is not safe for concurrent use.
type Session struct {
	cfg         SessionConfig
	phase       phase
	afterWait   func(now boottime.Time) Action // called when the Wait is over
	opIssued    bool                           // firstOpAt is set
	firstOpAt   boottime.Time                  // when the first operation was issued, before any grant; start of the send window
	opStartedAt boottime.Time                  // when the current operation was issued for the first time
	request     peer.ClaimRequest              // the current operation

	claim     peer.ClaimResponse // the last known claim; RunID is empty if there is none
	ownsClaim bool               // claim has this session's run id and is exclusive: no other session may send the run
	choice    Chosen             // the last Chosen
	excluded  []string           // runners that refused a send; the next Choose excludes them
	moves     int                // how often another runner was requested after a refused send
	refusal   *errkind.Error     // why the request will be refused; sent once the run state is known

	abandoned     bool // the deadline passed or the caller disconnected
	absent        bool // at some moment since the request arrived, the key had no claim
	othersMaySend bool // claim is shared or belongs to another session
	opUnanswered  bool // an operation got no answer and may still take effect
	mayBeWritten  bool // a write for this session may still take effect; never reset, since a delayed keeper may record the claim again after its release
	maybeSent     bool // a Send of this session may have run
	runExists     bool // the run is known to exist
}

// NewSession returns a new session. Its first event must be Chosen or ChooseFailed.
func NewSession(cfg SessionConfig) *Session {
	return &Session{cfg: cfg.withDefaults(), phase: phaseChoosing}
}

// CanSend reports whether a Send may be performed now. It must be called right before
// the first byte is written, so that a process that resumes after a pause doesn't send
// under an expired claim.
func (s *Session) CanSend(now boottime.Time) bool {
	return s.phase == phaseSending && s.inSendWindow(now)
}

// Claim returns the last known claim. Its RunID is empty if no claim is known.
func (s *Session) Claim() peer.ClaimResponse { return s.claim }

// Ended reports whether the session has ended.
func (s *Session) Ended() bool { return s.phase == phaseOver }

// Step processes one event and returns the next action, or nil if there is none. Late
// and duplicate events, which don't fit the current phase, are ignored.
func (s *Session) Step(now boottime.Time, e Event) Action {
	if s.phase == phaseOver {
		return nil
	}
	switch e.(type) {
	case DeadlinePassed:
		return s.abandon(now, errkind.New(errkind.DeadlineExceeded, errkind.RunUnknown, "the deadline passed"))
	case Canceled:
		return s.abandon(now, errkind.New(errkind.Canceled, errkind.RunUnknown, "the caller left"))
	}
	switch s.phase {
	case phaseChoosing:
		return s.stepChoosing(now, e)
	case phaseClaiming:
		return s.stepClaiming(now, e)
	case phaseSending:
		return s.stepSending(now, e)
	case phaseResuming, phaseStreaming:
		return s.stepStreaming(now, e)
	case phaseWaiting:
		if _, ok := e.(WaitElapsed); ok {
			return s.afterWait(now)
		}
	}
	return nil
}

func (s *Session) stepChoosing(now boottime.Time, e Event) Action {
	switch e := e.(type) {
	case Chosen:
		s.choice = e
		if s.ownsClaim {
			return s.startOp(now, peer.ClaimMove)
		}
		return s.startOp(now, peer.ClaimCreate)
	case ChooseFailed:
		s.refusal = e.Err
		if s.ownsClaim {
			return s.startOp(now, peer.ClaimRelease)
		}
		return s.startOp(now, peer.ClaimLookup)
	}
	return nil
}

// startOp issues a new claim operation.
func (s *Session) startOp(now boottime.Time, op peer.ClaimOp) Action {
	s.request = peer.ClaimRequest{
		Account:      s.cfg.Account,
		KeyHash:      s.cfg.Key[:],
		BodyHash:     s.cfg.Body[:],
		Holder:       s.cfg.Gateway,
		Runner:       s.choice.Runner,
		Incarnation:  s.choice.Incarnation,
		RunID:        s.cfg.RunID,
		ExpectSerial: s.claim.Serial,
		Op:           op,
	}
	s.opStartedAt = now
	if !s.opIssued {
		s.opIssued = true
		s.firstOpAt = now
	}
	return s.issueOp(now)
}

// issueOp issues the current operation, for the first time or as a retry. It doesn't use
// its parameter, which gives it the signature that wait requires.
func (s *Session) issueOp(boottime.Time) Action {
	s.phase = phaseClaiming
	return CallKeeper{Request: s.request}
}

func (s *Session) stepClaiming(now boottime.Time, e Event) Action {
	switch e := e.(type) {
	case ClaimUnanswered:
		s.opUnanswered = s.opUnanswered || s.request.Op != peer.ClaimLookup
		return s.retryOpOrRefuse(now, peer.ClaimResponse{Kind: string(errkind.ClaimUnavailable)})
	case ClaimAnswered:
		return s.handleAnswer(now, e.Answer)
	}
	return nil
}

// handleAnswer processes the keeper's answer to the current operation. An answer with a
// claim for another body is treated as key_reused.
func (s *Session) handleAnswer(now boottime.Time, a peer.ClaimResponse) Action {
	s.absent = s.absent || a.Absent
	s.mayBeWritten = s.mayBeWritten || a.Written
	if a.RunID != "" && !bytes.Equal(a.BodyHash, s.cfg.Body[:]) {
		a.Kind = string(errkind.KeyReused)
	}
	switch errkind.Kind(a.Kind) {
	case "":
	case errkind.KeyReused:
		return s.refuse(errkind.New(errkind.KeyReused, s.keyReusedRunState(), "the Idempotency-Key belongs to another body"))
	default:
		return s.retryOpOrRefuse(now, a)
	}
	s.recordClaim(a)
	switch s.request.Op {
	case peer.ClaimCreate:
		return s.afterCreate(now, a)
	case peer.ClaimTakeover:
		return s.afterTakeover(now, a)
	case peer.ClaimMove:
		return s.afterMove(now, a)
	case peer.ClaimRelease:
		return s.afterRelease(now, a)
	}
	return s.afterLookup(now, a)
}

// recordClaim updates the session's view of the claim from an answer.
func (s *Session) recordClaim(a peer.ClaimResponse) {
	s.claim = a
	if a.RunID == "" {
		s.ownsClaim = false
		s.othersMaySend = false
		return
	}
	mine := a.RunID == s.cfg.RunID
	s.ownsClaim = mine && a.Attempt == attemptExclusive
	s.othersMaySend = !s.ownsClaim
}

func (s *Session) afterCreate(now boottime.Time, a peer.ClaimResponse) Action {
	if a.Granted && s.ownsClaim {
		return s.sendOrRelease(now)
	}
	return s.joinRun(now, a)
}

// sendOrRelease sends the run under the session's own claim, or releases the claim if
// the request has been abandoned in the meantime.
func (s *Session) sendOrRelease(now boottime.Time) Action {
	if s.abandoned {
		return s.startOp(now, peer.ClaimRelease)
	}
	return s.send()
}

func (s *Session) afterTakeover(now boottime.Time, a peer.ClaimResponse) Action {
	if a.RunID == "" && s.abandoned {
		return s.refuse(s.refusal)
	}
	if a.RunID == "" { // the holder released the claim in the meantime
		return s.chooseAgain()
	}
	return s.joinRun(now, a)
}

func (s *Session) afterMove(now boottime.Time, a peer.ClaimResponse) Action {
	if a.Granted && s.ownsClaim {
		return s.sendOrRelease(now)
	}
	if a.RunID == "" {
		return s.refuseUnknown("the claim is gone")
	}
	return s.joinRun(now, a)
}

func (s *Session) afterRelease(now boottime.Time, a peer.ClaimResponse) Action {
	if a.Granted {
		return s.refuse(s.refusal)
	}
	return s.joinRun(now, a)
}

func (s *Session) afterLookup(now boottime.Time, a peer.ClaimResponse) Action {
	if a.RunID == "" {
		return s.refuse(s.refusal)
	}
	return s.joinRun(now, a)
}

// retryOpOrRefuse retries an operation that could not be performed, for up to
// ClaimWait. After that it resumes the run if the answer a names a claim, since resuming
// starts nothing. It refuses the request if there is no claim, if the request has been
// abandoned, or if the operation was a move or a release.
func (s *Session) retryOpOrRefuse(now boottime.Time, a peer.ClaimResponse) Action {
	if !s.abandoned && now.Sub(s.opStartedAt) < s.cfg.ClaimWait {
		return s.wait(s.issueOp)
	}
	if !s.abandoned && a.RunID != "" && s.request.Op != peer.ClaimMove && s.request.Op != peer.ClaimRelease {
		s.claim = a
		s.ownsClaim = false
		s.othersMaySend = true
		return s.resumeOrRefuse()
	}
	if s.refusal != nil {
		return s.refuse(s.refusal)
	}
	err := errkind.New(errkind.ClaimUnavailable, errkind.RunUnknown,
		"this request sent nothing; the key's claim cannot be recorded while the platform is out")
	return s.refuse(err.WithRetryAfter(claimRetryAfter))
}

// joinRun joins the run of a claim that this session does not hold exclusively. If the
// upstream deduplicates the run, joinRun sends it again under the shared claim, which it
// requests by a takeover if necessary. Otherwise it resumes the run.
func (s *Session) joinRun(now boottime.Time, a peer.ClaimResponse) Action {
	switch {
	case s.abandoned:
		return s.refuse(s.refusal)
	case !s.safeToResend(a):
		return s.resumeOrRefuse()
	case a.Granted && a.Attempt == attemptShared && s.inSendWindow(now):
		return s.send()
	case s.request.Op != peer.ClaimTakeover:
		return s.startOp(now, peer.ClaimTakeover)
	}
	return s.resumeOrRefuse()
}

// safeToResend reports whether the claim's run may be sent more than once or by more
// than one session. That is safe if the upstream deduplicates runs by their id and the
// claim names the upstream's incarnation, since an upstream that has restarted and lost
// its runs then refuses the send.
func (s *Session) safeToResend(a peer.ClaimResponse) bool {
	return s.cfg.Traits(a.Runner).Deduplicates && a.Incarnation != ""
}

// resumeOrRefuse resumes the claim's run, or refuses the request if the upstream can't
// resume runs.
func (s *Session) resumeOrRefuse() Action {
	if s.runExists && !s.cfg.Traits(s.claim.Runner).Resumes {
		return s.refuse(errkind.New(errkind.AnswerIncomplete, errkind.Ran, "the answer broke off and the upstream cannot resume it"))
	}
	if !s.cfg.Traits(s.claim.Runner).Resumes {
		return s.refuseUnknown("the key is claimed by " + s.claim.Holder + " at " + s.claim.Runner + ", whose answers cannot be joined")
	}
	s.phase = phaseResuming
	return Resume{Runner: s.claim.Runner, RunID: s.claim.RunID}
}

func (s *Session) send() Action {
	s.phase = phaseSending
	return Send{Runner: s.claim.Runner, Incarnation: s.claim.Incarnation, RunID: s.claim.RunID}
}

func (s *Session) chooseAgain() Action {
	s.phase = phaseChoosing
	return Choose{Exclude: slices.Clone(s.excluded)}
}

func (s *Session) stepSending(now boottime.Time, e Event) Action {
	switch e := e.(type) {
	case Started:
		s.runExists = true
		s.phase = phaseStreaming
	case SendRefused:
		return s.handleSendRefused(now, e)
	case SendWindowClosed:
		return s.handleSendWindowClosed(now)
	case SendAmbiguous:
		s.maybeSent = true
		return s.wait(s.resendOrResume)
	}
	return nil
}

// handleSendRefused handles a send that certainly did not run. A session may choose
// another runner only if it holds the claim exclusively and none of its sends may have
// run. The runner that refused is excluded from that choice, unless it refused because
// it has restarted.
func (s *Session) handleSendRefused(now boottime.Time, e SendRefused) Action {
	if !s.ownsClaim || s.maybeSent {
		if e.Restarted {
			return s.refuseUnknown("the upstream restarted; the run may have been lost with it")
		}
		return s.wait(s.resendOrResume)
	}
	if !e.Restarted {
		s.excluded = append(s.excluded, s.claim.Runner)
	}
	s.refusal = e.Err
	if s.refusal == nil {
		s.refusal = errkind.New(errkind.UpstreamRefused, errkind.RunUnknown, "the upstream refused before running")
	}
	if s.moves >= s.cfg.MaxMoves || !s.inSendWindow(now) {
		return s.startOp(now, peer.ClaimRelease)
	}
	s.moves++
	return s.chooseAgain()
}

// handleSendWindowClosed handles a send that was not performed because the send window had
// closed. It releases the claim if the session holds it exclusively and none of its
// sends may have run, and otherwise resumes the run.
func (s *Session) handleSendWindowClosed(now boottime.Time) Action {
	if !s.ownsClaim || s.maybeSent {
		return s.resumeOrRefuse()
	}
	s.refusal = errkind.New(errkind.DeadlineExceeded, errkind.RunUnknown, "the request was held up too long before it was sent")
	return s.startOp(now, peer.ClaimRelease)
}

// resendOrResume sends the run again if the upstream deduplicates it and the send
// window is open, and resumes it otherwise.
func (s *Session) resendOrResume(now boottime.Time) Action {
	if s.safeToResend(s.claim) && s.inSendWindow(now) {
		return s.send()
	}
	return s.resumeOrRefuse()
}

func (s *Session) stepStreaming(_ boottime.Time, e Event) Action {
	switch e.(type) {
	case Started:
		s.runExists = true
		s.phase = phaseStreaming
	case StreamBroken, ResumeFailed:
		return s.wait(func(boottime.Time) Action { return s.resumeOrRefuse() })
	case ResumeUnknownRun:
		if s.runExists {
			return s.refuse(errkind.New(errkind.AnswerIncomplete, errkind.Ran, "the upstream no longer knows the run"))
		}
		return s.refuseUnknown("the upstream does not know the run")
	case Finished:
		s.phase = phaseOver
		return Done{}
	}
	return nil
}

// abandon ends the session because its deadline passed or the caller disconnected. If
// the run may not have been sent yet, the refusal can report not-run only after the
// claim is gone. abandon therefore waits for the answer to a pending claim operation, and
// releases an exclusive claim whose run was never sent. A second call ends the session
// at once.
func (s *Session) abandon(now boottime.Time, err *errkind.Error) Action {
	if s.abandoned {
		s.opUnanswered = s.opUnanswered || s.phase == phaseClaiming
		return s.refuse(s.refusal)
	}
	s.abandoned = true
	s.refusal = err
	switch {
	case s.phase == phaseClaiming:
		return nil
	case s.phase == phaseSending:
		s.maybeSent = true
	case s.ownsClaim && !s.maybeSent && !s.runExists:
		return s.startOp(now, peer.ClaimRelease)
	}
	return s.refuse(err)
}

// wait requests a WaitElapsed after RetryDelay, on which the session calls next.
func (s *Session) wait(next func(boottime.Time) Action) Action {
	s.phase = phaseWaiting
	s.afterWait = next
	return Wait{Delay: s.cfg.RetryDelay}
}

// refuseUnknown refuses the request because it is unknown whether the key has run.
func (s *Session) refuseUnknown(message string) Action {
	return s.refuse(errkind.New(errkind.OutcomeUnknown, errkind.RunUnknown, message))
}

// refuse ends the session with a copy of err that has the run state known now. Errors of
// kind KeyReused and AnswerIncomplete keep the run state that they were created with.
func (s *Session) refuse(err *errkind.Error) Action {
	s.phase = phaseOver
	e := *err
	if e.Kind != errkind.KeyReused && e.Kind != errkind.AnswerIncomplete {
		e.Run = s.runState()
	}
	return Refuse{Err: &e}
}

// runState returns what is known about the key's run. NotRun requires that nothing
// this session did can still start the run, and that the key had no claim at some
// moment since the request arrived or the caller stated that it never sent the key
// before.
func (s *Session) runState() errkind.RunState {
	switch {
	case s.runExists:
		return errkind.Ran
	case s.maybeSent, s.othersMaySend, s.ownsClaim, s.opUnanswered, s.mayBeWritten:
		return errkind.RunUnknown
	case s.absent, s.cfg.FirstSend:
		return errkind.NotRun
	}
	return errkind.RunUnknown
}

// keyReusedRunState returns the run state of a request whose key belongs to another
// body: NotRun, unless something that this session sent or wrote may have taken effect.
func (s *Session) keyReusedRunState() errkind.RunState {
	if s.runExists || s.maybeSent || s.opUnanswered || s.mayBeWritten {
		return errkind.RunUnknown
	}
	return errkind.NotRun
}

// inSendWindow reports whether the send window is still open.
func (s *Session) inSendWindow(now boottime.Time) bool {
	return now.Sub(s.firstOpAt) < s.cfg.SendWindow
}
