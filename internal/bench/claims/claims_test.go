package claims

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

func base() scenario {
	return scenario{gateways: 8, rate: 100, length: 8 * time.Second, keep: time.Hour, seed: 1}
}

func TestWritesAreGrouped(t *testing.T) {
	sc := base()
	sc.rate, sc.length = 1500, 3*time.Second
	busy := run(sc)
	if busy.granted != busy.keys {
		t.Errorf("%d of %d keys granted without any fault", busy.granted, busy.keys)
	}
	if busy.writes*3 > busy.keys {
		t.Errorf("%d writes for %d keys, want at most a third", busy.writes, busy.keys)
	}
	again := run(sc)
	if again.writes != busy.writes || again.bytes != busy.bytes || again.slowest != busy.slowest {
		t.Errorf("two runs of one seed differ: %d and %d writes", busy.writes, again.writes)
	}
}

func TestOutageRefusesAndEnds(t *testing.T) {
	sc := base()
	sc.outFrom, sc.outFor = 2*time.Second, 3*time.Second
	for _, first := range []bool{false, true} {
		sc.first = first
		got := run(sc)
		if got.granted+got.refused[errkind.NotRun]+got.refused[errkind.RunUnknown] != got.keys {
			t.Errorf("first %v: %d keys, %d granted, refused %v", first, got.keys, got.granted, got.refused)
		}
		want, never := errkind.RunUnknown, errkind.NotRun
		if first {
			want, never = never, want
		}
		if got.refused[want] == 0 || got.refused[never] != 0 {
			t.Errorf("first %v: refused %v, want only %s", first, got.refused, want)
		}
		if got.lastRefusal > sc.outFor+time.Second {
			t.Errorf("first %v: refused %v after an outage of %v began", first, got.lastRefusal, sc.outFor)
		}
	}
}

func TestHungKeeperRefusesNothing(t *testing.T) {
	sc := base()
	sc.pauseFrom, sc.pauseFor, sc.removed = time.Second, 4*time.Second, 2*time.Second
	if got := run(sc); got.granted != got.keys {
		t.Errorf("%d of %d keys granted while one keeper hangs, refused %v", got.granted, got.keys, got.refused)
	}
}
