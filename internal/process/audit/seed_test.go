package audit

import "testing"

func TestTrailsWithoutSeedDrawDifferently(t *testing.T) {
	a, b := NewTrail(Config{Writer: "a"}), NewTrail(Config{Writer: "b"})
	if a.rng.Uint64() == b.rng.Uint64() {
		t.Error("two trails without a seed back off in step")
	}
}
