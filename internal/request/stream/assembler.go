package stream

import (
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Errors of an Assembler, to be tested with errors.Is. None of them changes its state,
// so Next still returns where to resume.
var (
	ErrGap       = errors.New("tokens are missing")                     // resume from Next
	ErrCount     = errors.New("end counts fewer tokens than were sent") // the end marker is wrong; resume from Next
	ErrCanceled  = errors.New("the run was canceled")                   // no resume can complete the answer
	ErrMalformed = errors.New("item is neither a token nor an end")
)

// reasonCanceled is the Reason of the End of a canceled run, whose answer stays
// incomplete.
const reasonCanceled = "canceled"

// Assembler assembles one answer from the items of one or more streams of the same
// run. It emits each token once and in order. The answer is whole only when an end
// marker counts exactly the tokens emitted. It stores no tokens, so its memory does
// not grow with the answer.
type Assembler struct {
	runID      string
	next       int               // index of the first token not yet emitted
	end        *upstream.End     // nil until the answer is whole
	emit       [1]upstream.Token // backs the slice that Feed returns
	foreign    int
	duplicates int
}

// New returns an Assembler of the answer of one run.
func New(runID string) *Assembler { return &Assembler{runID: runID} }

// Next returns the index of the first token not yet emitted, from which to resume.
func (a *Assembler) Next() int { return a.next }

// Complete reports whether the whole answer was emitted.
func (a *Assembler) Complete() bool { return a.end != nil }

// End returns the end marker of a whole answer, else nil.
func (a *Assembler) End() *upstream.End { return a.end }

// Dropped returns two numbers of dropped items: foreign counts items of other runs, and
// duplicates counts tokens emitted before and all items after the end.
func (a *Assembler) Dropped() (foreign, duplicates int) { return a.foreign, a.duplicates }

// Feed processes the next item of a stream. It returns the tokens to pass on, valid
// until the next call, and whether the answer is whole. It drops items of other runs,
// tokens emitted before, and anything after the end.
func (a *Assembler) Feed(item upstream.Item) (emit []upstream.Token, done bool, err error) {
	switch {
	case (item.Token == nil) == (item.End == nil):
		return nil, a.Complete(), ErrMalformed
	case item.Token != nil:
		emit, err = a.acceptToken(item.Token)
	default:
		err = a.acceptEnd(item.End)
	}
	return emit, a.Complete(), err
}

func (a *Assembler) acceptToken(t *upstream.Token) ([]upstream.Token, error) {
	switch {
	case t.RunID != a.runID:
		a.foreign++
		return nil, nil
	case t.Index < a.next || a.Complete():
		a.duplicates++
		return nil, nil
	case t.Index > a.next:
		return nil, errors.Wrapf(ErrGap, "token %d came where %d was due", t.Index, a.next)
	}
	a.next++
	a.emit[0] = *t
	return a.emit[:], nil
}

func (a *Assembler) acceptEnd(e *upstream.End) error {
	switch {
	case e.RunID != a.runID:
		a.foreign++
		return nil
	case a.Complete():
		a.duplicates++
		return nil
	case e.Reason == reasonCanceled:
		return errors.Wrapf(ErrCanceled, "after %d tokens", e.Tokens)
	case e.Tokens > a.next:
		return errors.Wrapf(ErrGap, "end counts %d tokens, %d came", e.Tokens, a.next)
	case e.Tokens < a.next:
		return errors.Wrapf(ErrCount, "end counts %d tokens, %d came", e.Tokens, a.next)
	}
	end := *e
	a.end = &end
	return nil
}
