package decay

import (
	"testing"
	"time"
)

func TestFactor(t *testing.T) {
	for elapsed, want := range map[time.Duration]float64{
		-time.Second: 1, 0: 1, time.Second: 0.5, 2 * time.Second: 0.25,
	} {
		if got := Factor(elapsed, time.Second); got != want {
			t.Errorf("after %v: %v, want %v", elapsed, got, want)
		}
	}
}
