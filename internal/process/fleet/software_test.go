package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// TestOnlyUpstreamsThatBeginStreamsCount checks which versions of software can have begun a stream: those of listed
// upstreams that write events, also while these are leaving, but not those of engines that only compute prompts.
func TestOnlyUpstreamsThatBeginStreamsCount(t *testing.T) {
	c, at := New(), time.Unix(1000, 0)
	put := func(id, software string, role upstream.Role, leaving bool) {
		c.Put(at, Upstream{ID: id, Service: "llm", Address: id + ":1", Software: software, Role: role, Leaving: leaving})
	}
	check := func(what string, want ...string) {
		t.Helper()
		if got := c.Software("llm"); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	check("no list")
	put("a", "v1", upstream.RoleDecode, false)
	put("p", "v0", upstream.RolePrefill, false)
	check("an engine that only computes prompts", "v1")
	put("b", "v2", upstream.RoleBoth, true)
	check("a leaving engine", "v1", "v2")
	c.Remove(at, "a")
	check("after its removal", "v2")
	put("p", "v0", upstream.RoleDecode, false)
	check("an engine that changed its role", "v0", "v2")
	put("p", "v3", upstream.RoleDecode, false)
	check("an entry that changed its version", "v2", "v3")
	if c.HasSoftware("llm", "v2") || !c.HasSoftware("llm", "v3") {
		t.Error("a stream of a version continues only at an upstream that isn't leaving")
	}
	c.Remove(at, "b")
	c.Remove(at, "p")
	if len(c.software) != 0 {
		t.Errorf("kept: %v", c.software)
	}
}
