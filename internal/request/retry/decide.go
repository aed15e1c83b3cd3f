package retry

import "github.com/ragworttrestle/ragworttrestle/internal/errkind"

// Failure describes a failed attempt.
type Failure struct {
	Run            errkind.RunState // combined by CombineRunStates from all attempts so far; NotRun: none of them ran
	Idempotent     bool             // the request may run twice without harm
	Resumable      bool             // the run may still exist at its runner, which has not refused to resume it
	TokensSent     int              // tokens already passed to the caller
	Budget         bool             // the retry budget allows another attempt
	TimeLeft       bool             // another attempt can still meet the objective or the deadline
	HasAlternative bool             // another upstream can serve the request
}

// Action is the next step after a failed attempt.
type Action string

// The actions.
const (
	SendElsewhere Action = "send-elsewhere" // send to another upstream, where it runs for the first time
	Resume        Action = "resume"         // continue at the same runner from the next token
	RunAgain      Action = "run-again"      // run again at another upstream and skip the tokens already passed on
	AnswerNotRun  Action = "answer-not-run" // final answer: it did not run
	AnswerUnknown Action = "answer-unknown" // final answer: it may have run
	AnswerBroken  Action = "answer-broken"  // final answer: it ran but its answer broke off
)

// Decide returns the action after a failure. A request that is not idempotent is sent again
// only if it provably did not run. The answer is that a request did not run only if that is
// certain.
func Decide(f Failure) Action {
	if f.Run == errkind.NotRun && f.TokensSent == 0 {
		if f.Budget && f.TimeLeft && f.HasAlternative {
			return SendElsewhere
		}
		return AnswerNotRun
	}
	// A resume runs nothing again, so it needs no retry budget.
	if f.Resumable && f.TimeLeft {
		return Resume
	}
	if f.Idempotent && f.Budget && f.TimeLeft && f.HasAlternative {
		return RunAgain
	}
	if f.TokensSent > 0 || f.Run == errkind.Ran {
		return AnswerBroken
	}
	return AnswerUnknown
}
