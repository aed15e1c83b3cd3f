package patience

import (
	"testing"
	"time"
)

const usual = 2 * time.Second

func TestSpentIsUnknownAtFirst(t *testing.T) {
	var r Route
	for range enough - 2 {
		r.Spent(usual)
	}
	if got := r.Spent(usual / 2); got != 0 {
		t.Errorf("after %d declarations: spent %v, want 0", enough-1, got)
	}
}

func TestSpentOfReturns(t *testing.T) {
	for name, others := range map[string][]time.Duration{
		"alone":             {usual},
		"half are returns":  {usual, usual - 300*time.Millisecond},
		"few patient ones":  {usual, usual, usual, usual, usual, usual, usual, usual, usual, 5 * usual},
		"slow connections":  {usual, usual, usual, usual - 7*time.Millisecond},
		"three of five are": {usual, usual, usual - time.Second, usual - time.Second, usual - 1500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var r Route
			for i := range 2 * remembered {
				r.Spent(others[i%len(others)])
			}
			if got := r.Spent(usual); got != 0 {
				t.Errorf("a first attempt has spent %v, want 0", got)
			}
			if got, want := r.Spent(usual-400*time.Millisecond), 400*time.Millisecond; got != want {
				t.Errorf("a return has spent %v, want %v", got, want)
			}
			if got := r.Spent(5 * usual); got != 0 {
				t.Errorf("a patient caller has spent %v, want 0", got)
			}
		})
	}
}

func TestSpentFollowsAChangedHabit(t *testing.T) {
	var r Route
	for range remembered {
		r.Spent(usual)
	}
	for range remembered {
		r.Spent(usual / 2)
	}
	if got := r.Spent(usual / 2); got != 0 {
		t.Errorf("all callers declare half now: spent %v, want 0", got)
	}
}

func TestNothingDeclared(t *testing.T) {
	var r Route
	for range remembered {
		if got := r.Spent(0); got != 0 {
			t.Fatalf("spent %v, want 0", got)
		}
	}
}
