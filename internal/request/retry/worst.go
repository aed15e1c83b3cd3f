package retry

import "github.com/ragworttrestle/ragworttrestle/internal/errkind"

// CombineRunStates combines the run states of two attempts of one request. The request did not run
// only if neither attempt did.
func CombineRunStates(a, b errkind.RunState) errkind.RunState {
	if a == errkind.Ran || b == errkind.Ran {
		return errkind.Ran
	}
	if a == errkind.NotRun && b == errkind.NotRun {
		return errkind.NotRun
	}
	return errkind.RunUnknown
}
