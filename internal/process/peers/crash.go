package peers

import (
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// MaxCrashes bounds the crashes of one message, some 35 bytes each.
const MaxCrashes = 24

// Crash tells of a quarantine.Crash. Its times are ages, as clocks of instances differ.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Content  []byte
	Upstream uint32 // place.UpstreamKey
	SentUS   int64  // microseconds since the work was sent
	AtUS     int64  // microseconds since it broke off
	Void     bool
}

// CrashesOf tells of crashes, of at most MaxCrashes.
func CrashesOf(now time.Time, crashes []quarantine.Crash) []Crash {
	crashes = crashes[:min(len(crashes), MaxCrashes)]
	out := make([]Crash, len(crashes))
	for i := range crashes {
		c := &crashes[i]
		at := max(now.Sub(c.At).Microseconds(), 0)
		sent := max(now.Sub(c.Sent).Microseconds(), at) // words of several instances may be in it
		out[i] = Crash{Content: c.Content[:], Upstream: uint32(c.Upstream), Void: c.Void, SentUS: sent, AtUS: at}
	}
	return out
}

// Told gives the crashes that a message tells of.
func (m *Message) Told(now time.Time) []quarantine.Crash {
	out := make([]quarantine.Crash, len(m.Crashes))
	for i := range m.Crashes {
		c := &m.Crashes[i]
		out[i] = quarantine.Crash{
			Content: quarantine.Content(c.Content), Upstream: place.UpstreamKey(c.Upstream), Void: c.Void,
			Sent: now.Add(-micros(c.SentUS)), At: now.Add(-micros(c.AtUS)),
		}
	}
	return out
}

func (c *Crash) check() error {
	switch {
	case len(c.Content) != len(quarantine.Content{}):
		return errors.Errorf("crash under a content of %d bytes", len(c.Content))
	case c.AtUS < 0 || c.SentUS < c.AtUS:
		return errors.Errorf("crash %d us ago of what was sent %d us ago", c.AtUS, c.SentUS)
	}
	return nil
}

// Placers gives the addresses of the other instances that give places, of all availability zones.
func (c *Core) Placers(now time.Time) []string { return c.recipients(now) }
