package stream

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/defaults"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// Defaults of RelayConfig.
const (
	DefaultMaxStalledResumes = 5
	DefaultMaxResumes        = 64
	DefaultMaxRestarts       = 2
	DefaultBackoff           = 20 * time.Millisecond
	maxBackoff               = time.Second
)

// Restart starts the request again at another runner. cause is the error because of
// which the previous run could not be continued. An error ends the relay: an
// *errkind.Error is passed to the caller with its kind, and any other error becomes
// AnswerIncomplete.
type Restart func(ctx context.Context, cause error) (Attempt, error)

// Attempt is one run of a request at one runner.
type Attempt struct {
	RunID  string
	Engine upstream.Engine
	Stream upstream.Stream // from token 0; nil: the relay starts with a resume
}

// RelayConfig configures a Relay. Zero numbers are replaced by the defaults.
type RelayConfig struct {
	Attempt Attempt
	// Restart is nil for a request that must not run twice.
	Restart           Restart
	MaxStalledResumes int           // consecutive resumes without a new token
	MaxResumes        int           // resumes of the whole answer
	MaxRestarts       int           // restarts at other runners
	Backoff           time.Duration // delay before the second consecutive resume without a new token; doubles with each further one, up to maxBackoff
}

// Relay reads one answer in order across breaks of its stream. After a break it
// resumes from the first missing token at the same runner. If the runner no longer has
// the run, and the request may run twice, it restarts at another runner. Since another
// runner may sample different tokens, the tokens passed on before are compared with
// the new run: if the texts differ, the answer cannot be completed and Next returns an
// error.
//
// A Relay has no goroutine and reads nothing ahead, so a slow caller slows the engine
// down. It is not safe for concurrent use. The caller must call Close, and must cancel
// the run at Current if it abandons the answer.
type Relay struct {
	config         RelayConfig
	current        Attempt
	assembler      *Assembler
	passed         int    // tokens passed on
	text           []byte // of the tokens passed on; kept only if a restart is possible
	verified       int    // bytes of text that the current attempt has repeated
	stalledResumes int    // consecutive resumes without a new token
	resumes        int
	restarts       int
	finalErr       error // if set, every further Next returns it
}

// NewRelay returns a Relay of the answer of an attempt.
func NewRelay(c RelayConfig) *Relay {
	defaults.Set(&c.MaxStalledResumes, DefaultMaxStalledResumes)
	defaults.Set(&c.MaxResumes, DefaultMaxResumes)
	defaults.Set(&c.MaxRestarts, DefaultMaxRestarts)
	defaults.Set(&c.Backoff, DefaultBackoff)
	return &Relay{config: c, current: c.Attempt, assembler: New(c.Attempt.RunID)}
}

// Next returns the next token, then the End, then io.EOF. Any other error is an
// *errkind.Error and final: Canceled or DeadlineExceeded if ctx ended,
// AnswerIncomplete if the answer could not be completed, or the error of Restart.
func (r *Relay) Next(ctx context.Context) (upstream.Item, error) {
	for {
		if r.finalErr != nil {
			return upstream.Item{}, r.finalErr
		}
		if r.assembler.Complete() {
			return upstream.Item{}, io.EOF
		}
		item, emitted, err := r.receive(ctx)
		if err != nil {
			r.finalErr = r.resumeOrRestart(ctx, err)
			continue
		}
		if emitted {
			return item, nil
		}
	}
}

// TokensRelayed returns the number of tokens passed on.
func (r *Relay) TokensRelayed() int { return r.passed }

// Current returns the attempt that currently supplies the answer.
func (r *Relay) Current() Attempt { return r.current }

// Recoveries returns the numbers of resumes and restarts, for metrics and
// explanations.
func (r *Relay) Recoveries() (resumes, restarts int) { return r.resumes, r.restarts }

// Close closes the stream. It does not cancel the run.
func (r *Relay) Close() {
	if r.current.Stream != nil {
		r.current.Stream.Close()
		r.current.Stream = nil
	}
}

// errNoStream reports an attempt that has a run to resume but no stream yet.
var errNoStream = errors.New("no stream yet")

// errTextDiffers reports a restarted run whose text differs from what was passed on.
var errTextDiffers = errors.New("the new run gives another text")

// receive processes the next item of the stream and returns it if it must be passed on.
// emitted is false if the item was dropped or repeats a token passed on before.
func (r *Relay) receive(ctx context.Context) (item upstream.Item, emitted bool, err error) {
	if r.current.Stream == nil {
		return upstream.Item{}, false, errNoStream
	}
	item, err = r.current.Stream.Recv(ctx)
	if err != nil {
		return upstream.Item{}, false, err
	}
	emit, done, err := r.assembler.Feed(item)
	if err != nil {
		return upstream.Item{}, false, err
	}
	if done {
		return r.endItem()
	}
	if len(emit) == 0 {
		return upstream.Item{}, false, nil
	}
	r.stalledResumes = 0
	token := emit[0]
	if token.Index < r.passed {
		return upstream.Item{}, false, r.compare(token)
	}
	r.passOn(token)
	return upstream.Item{Token: &token}, true, nil
}

// endItem returns the End, or errTextDiffers if the current attempt ends before it has
// repeated everything passed on.
func (r *Relay) endItem() (upstream.Item, bool, error) {
	end := r.assembler.End()
	if end.Tokens < r.passed {
		return upstream.Item{}, false, errors.Wrapf(errTextDiffers, "it ends after %d tokens, %d were passed on", end.Tokens, r.passed)
	}
	return upstream.Item{End: end}, true, nil
}

// passOn counts a token as passed on and keeps its text for a later restart.
func (r *Relay) passOn(t upstream.Token) {
	r.passed++
	if r.config.Restart == nil {
		return
	}
	r.text = append(r.text, t.Text...)
	r.verified = len(r.text)
}

// compare compares a token of a restarted run with the text passed on before. Token
// boundaries may differ as long as the texts agree at the last token passed on.
func (r *Relay) compare(t upstream.Token) error {
	remaining := r.text[r.verified:]
	if len(t.Text) > len(remaining) || string(remaining[:len(t.Text)]) != t.Text {
		return errors.Wrapf(errTextDiffers, "token %d", t.Index)
	}
	r.verified += len(t.Text)
	if t.Index == r.passed-1 && r.verified != len(r.text) {
		return errors.Wrapf(errTextDiffers, "token %d", t.Index)
	}
	return nil
}

// resumeOrRestart prepares the relay to continue after a break, or returns the final
// error.
func (r *Relay) resumeOrRestart(ctx context.Context, cause error) error {
	r.Close()
	for {
		if err := r.contextError(ctx); err != nil {
			return err
		}
		if errors.Is(cause, errTextDiffers) || errors.Is(cause, ErrCanceled) {
			return r.incompleteError(cause)
		}
		if errors.Is(cause, upstream.ErrUnknownRun) || r.stalledResumes >= r.config.MaxStalledResumes || r.resumes >= r.config.MaxResumes {
			return r.restart(ctx, cause)
		}
		if cause = r.resume(ctx); cause == nil {
			return nil
		}
	}
}

// resume opens a stream from the first missing token at the same runner.
func (r *Relay) resume(ctx context.Context) error {
	r.resumes++
	r.stalledResumes++
	if err := r.backOff(ctx); err != nil {
		return err
	}
	s, err := r.current.Engine.Resume(ctx, r.current.RunID, r.assembler.Next())
	if err != nil {
		return err
	}
	r.current.Stream = s
	return nil
}

// backOff waits before a resume that follows another one without progress.
func (r *Relay) backOff(ctx context.Context) error {
	if r.stalledResumes < 2 {
		return nil
	}
	wait := min(r.config.Backoff<<(r.stalledResumes-2), maxBackoff)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// restart starts the request again at another runner, or returns the final error.
func (r *Relay) restart(ctx context.Context, cause error) error {
	if r.config.Restart == nil || r.restarts >= r.config.MaxRestarts {
		return r.incompleteError(cause)
	}
	r.restarts++
	next, err := r.config.Restart(ctx, cause)
	if err != nil {
		return r.restartError(ctx, err)
	}
	r.current = next
	r.assembler = New(next.RunID)
	r.verified = 0
	r.stalledResumes = 0
	return nil
}

// restartError converts an error of Restart to the caller's error. An earlier attempt
// was already sent, so the result never claims that the request was not run.
func (r *Relay) restartError(ctx context.Context, err error) error {
	if ctxErr := r.contextError(ctx); ctxErr != nil {
		return ctxErr
	}
	var known *errkind.Error
	if !errors.As(err, &known) {
		return r.incompleteError(err)
	}
	out := *known
	if out.Run == errkind.NotRun {
		out.Run = r.runState()
	}
	return &out
}

// contextError returns the caller's error if ctx has ended, else nil.
func (r *Relay) contextError(ctx context.Context) error {
	cause := context.Cause(ctx)
	var known *errkind.Error
	switch {
	case cause == nil:
		return nil
	case errors.As(cause, &known):
		return known
	case errors.Is(cause, context.DeadlineExceeded):
		return errkind.Wrap(cause, errkind.DeadlineExceeded, r.runState(), "the answer was not complete by the deadline")
	}
	return errkind.Wrap(cause, errkind.Canceled, r.runState(), "the caller left")
}

// incompleteError returns the caller's error for an answer that cannot be completed.
func (r *Relay) incompleteError(cause error) error {
	return errkind.Wrap(cause, errkind.AnswerIncomplete, r.runState(), "the answer broke off and could not be completed")
}

// runState returns Ran if any token was received, and RunUnknown otherwise. It never
// returns NotRun, since the request was sent.
func (r *Relay) runState() errkind.RunState {
	if r.passed > 0 || r.assembler.Next() > 0 {
		return errkind.Ran
	}
	return errkind.RunUnknown
}
