package streams

import (
	"testing"
	"time"
)

// TestCopiedRowIsDurableOnceInDoubt guards against streams that are refused after a loss of all instances: a configuration
// came into force before the release that put their service in doubt.
func TestCopiedRowIsDurableOnceInDoubt(t *testing.T) {
	c := New()
	c.Began(start, KeyOf("a", "1"), old, time.Minute, false)
	c.CopyAll("llm") // a configuration came into force
	c.Doubt(start, "llm")
	if rows, _ := c.TakeDurable(start.Add(2*durableDelay), false); len(rows) != 1 {
		t.Errorf("%d rows are handed over, want 1", len(rows))
	}
}
