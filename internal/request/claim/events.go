package claim

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// UpstreamTraits describes what the upstream of a claim supports.
type UpstreamTraits struct {
	Resumes      bool // it streams an existing run again; false for plain services
	Deduplicates bool // it attaches a second send of a run id to the existing run, for as long as claims are kept
}

// Event is an input of a Session.
type Event interface{ sessionEvent() }

// The events of a Session.
type (
	// Chosen carries the runner that admission and routing selected. It starts the
	// session and answers a Choose.
	Chosen struct{ Runner, Incarnation string }
	// ChooseFailed reports that admission or routing refused the request.
	ChooseFailed struct{ Err *errkind.Error }
	// ClaimAnswered carries the keeper's answer to the last CallKeeper.
	ClaimAnswered struct{ Answer peer.ClaimResponse }
	// ClaimUnanswered reports that the last CallKeeper got no answer; it may still take effect.
	ClaimUnanswered struct{}
	// Started reports that the upstream accepted the last Send or Resume, so the run exists.
	Started struct{}
	// SendRefused reports that the last Send certainly did not run.
	SendRefused struct {
		Restarted bool // the upstream's incarnation is no longer the one that the Send named
		Err       *errkind.Error
	}
	// SendWindowClosed reports that nothing was sent, since CanSend was false right before the send.
	SendWindowClosed struct{}
	// SendAmbiguous reports that the last Send failed before Started; it may have run.
	SendAmbiguous struct{}
	// StreamBroken reports that the stream broke off between Started and its end.
	StreamBroken struct{}
	// ResumeUnknownRun reports that the upstream does not know the run.
	ResumeUnknownRun struct{}
	// ResumeFailed reports that the last Resume could not reach the upstream.
	ResumeFailed struct{}
	// WaitElapsed reports that the delay of a Wait has passed.
	WaitElapsed struct{}
	// Finished reports that the whole answer was relayed.
	Finished struct{}
	// DeadlinePassed reports that the request's deadline has passed.
	DeadlinePassed struct{}
	// Canceled reports that the caller disconnected. The run continues, and a retry may
	// resume it.
	Canceled struct{}
)

func (Chosen) sessionEvent()           {}
func (ChooseFailed) sessionEvent()     {}
func (ClaimAnswered) sessionEvent()    {}
func (ClaimUnanswered) sessionEvent()  {}
func (Started) sessionEvent()          {}
func (SendRefused) sessionEvent()      {}
func (SendWindowClosed) sessionEvent() {}
func (SendAmbiguous) sessionEvent()    {}
func (StreamBroken) sessionEvent()     {}
func (ResumeUnknownRun) sessionEvent() {}
func (ResumeFailed) sessionEvent()     {}
func (WaitElapsed) sessionEvent()      {}
func (Finished) sessionEvent()         {}
func (DeadlinePassed) sessionEvent()   {}
func (Canceled) sessionEvent()         {}

// Action is an output of a Session. Each Step returns at most one.
type Action interface{ sessionAction() }

// The actions of a Session.
type (
	// Choose requests another runner from admission and routing. It is answered with
	// Chosen or ChooseFailed.
	Choose struct{ Exclude []string }
	// CallKeeper requests a claim operation from the bucket's keeper. It is answered with
	// ClaimAnswered or ClaimUnanswered.
	CallKeeper struct{ Request peer.ClaimRequest }
	// Send starts the run at the given incarnation of the runner, or attaches to it.
	// CanSend must be called right before the first byte is written; if it returns
	// false, nothing is sent and the answer is SendWindowClosed.
	Send struct{ Runner, Incarnation, RunID string }
	// Resume streams the run and never starts it.
	Resume struct{ Runner, RunID string }
	// Wait requests a WaitElapsed after a delay.
	Wait struct{ Delay time.Duration }
	// Refuse ends the session with an error. The error's run state says what is known of
	// the key's run.
	Refuse struct{ Err *errkind.Error }
	// Done ends the session after the whole answer was relayed.
	Done struct{}
)

func (Choose) sessionAction()     {}
func (CallKeeper) sessionAction() {}
func (Send) sessionAction()       {}
func (Resume) sessionAction()     {}
func (Wait) sessionAction()       {}
func (Refuse) sessionAction()     {}
func (Done) sessionAction()       {}
