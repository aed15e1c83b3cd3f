package fleet

import (
	"testing"
	"time"
)

// TestSoftwareOf checks from when on the list shows that a service has had only one version of software: after it was
// read for the whole window without interruption, and after the last upstream of another version has been gone for as
// long.
func TestSoftwareOf(t *testing.T) {
	const window = 10 * time.Second
	c, at := New(), time.Unix(1000, 0)
	up := func(id, software string) Change {
		return Change{Kind: Listed, ID: id, Upstream: Upstream{ID: id, Service: "llm", Address: id + ":1", Software: software}}
	}
	check := func(what, want string, state SoftwareState) {
		t.Helper()
		if got, s := c.SoftwareOf(at, "llm", window); got != want || s != state {
			t.Errorf("%s: %q %d, want %q %d", what, got, s, want, state)
		}
	}
	check("no list", "", SoftwareUnknown)
	c.Replace(at, 1, []Change{up("a", "v1"), up("b", "v1")})
	check("read just now", "", SoftwareUnknown)
	at = at.Add(window)
	check("read for the window", "v1", SoftwareSole)
	c.Apply(at, []Change{up("c", "v2")})
	check("another version", "", SoftwareMixed)
	c.Apply(at, []Change{{Kind: Unlisted, ID: "a"}, {Kind: Unlisted, ID: "b"}})
	at = at.Add(window - 1)
	check("the first version left a while ago", "", SoftwareMixed)
	at = at.Add(1)
	check("the first version left the window", "v2", SoftwareSole)
	c.Apply(at, []Change{up("c", "v3")})
	check("the version of an entry changes", "", SoftwareMixed)
	at = at.Add(window)
	check("after that", "v3", SoftwareSole)
	c.PlatformLost()
	check("in an outage", "", SoftwareUnknown)
	c.PlatformRestored(at)
	at = at.Add(window - 1)
	check("after an outage", "", SoftwareUnknown)
	at = at.Add(1)
	check("long after an outage", "v3", SoftwareSole)
	c.Resumed()
	check("after a stall", "", SoftwareUnknown)
}

// TestSoftwareIsForgotten checks that versions of the past take no memory forever.
func TestSoftwareIsForgotten(t *testing.T) {
	c, at := New(), time.Unix(1000, 0)
	c.Put(at, Upstream{ID: "a", Service: "llm", Software: "v1"})
	c.Remove(at, "a")
	c.Expire(at.Add(softwareMemory))
	if len(c.software) != 0 {
		t.Errorf("kept: %v", c.software)
	}
}
