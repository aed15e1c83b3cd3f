package retry

import (
	"slices"
	"time"
)

// OutlierConfig configures Outliers. Consecutive, BaseTime and MaxTime have defaults.
type OutlierConfig struct {
	MaxShare    float64       // maximum share of a group's upstreams that are ejected at once
	Consecutive int           // consecutive failures after which an upstream is ejected
	BaseTime    time.Duration // length of the first ejection; each further one is twice as long
	MaxTime     time.Duration // maximum length of an ejection
}

// Defaults of OutlierConfig.
const (
	DefaultConsecutive = 5
	DefaultBaseTime    = 5 * time.Second
	DefaultMaxTime     = 2 * time.Minute
)

// Outliers ejects upstreams after consecutive failures, for an increasing time, but never
// more than a share of their group. A group consists of upstreams that can replace each
// other: the runners of one model, or the upstreams of one service. It is not safe for
// concurrent use.
type Outliers struct {
	config    OutlierConfig
	upstreams map[string]*upstreamState
}

// upstreamState is the state of one upstream, ejected or not.
type upstreamState struct {
	group     string
	failures  int       // consecutive
	ejections int       // since the last good answer
	until     time.Time // end of the last ejection; zero if there was none
}

// NewOutliers returns an Outliers without upstreams.
func NewOutliers(config OutlierConfig) *Outliers {
	if config.Consecutive <= 0 {
		config.Consecutive = DefaultConsecutive
	}
	if config.BaseTime <= 0 {
		config.BaseTime = DefaultBaseTime
	}
	if config.MaxTime <= 0 {
		config.MaxTime = DefaultMaxTime
	}
	return &Outliers{config: config, upstreams: make(map[string]*upstreamState)}
}

// SetGroup sets the members of a group. The state of former members is dropped.
func (o *Outliers) SetGroup(group string, members []string) {
	for name, u := range o.upstreams {
		if u.group == group && !slices.Contains(members, name) {
			delete(o.upstreams, name)
		}
	}
	for _, name := range members {
		if u, ok := o.upstreams[name]; ok {
			u.group = group
			continue
		}
		o.upstreams[name] = &upstreamState{group: group}
	}
}

// Succeeded records a good answer: it resets the upstream's failures and the length of its
// next ejection, and doesn't end an ejection. An unknown upstream is ignored.
func (o *Outliers) Succeeded(_ time.Time, name string) {
	if u, ok := o.upstreams[name]; ok {
		u.failures = 0
		u.ejections = 0
	}
}

// Failed records a failure of the upstream itself: a refused or broken connection, or a
// server error. It reports whether the failure ejected the upstream. Failures of an
// unknown or ejected upstream are ignored.
func (o *Outliers) Failed(now time.Time, name string) bool {
	u, ok := o.upstreams[name]
	if !ok || now.Before(u.until) {
		return false
	}
	u.failures++
	if u.failures < o.config.Consecutive || !o.mayEject(now, u.group) {
		return false
	}
	u.failures = o.config.Consecutive - 1 // after the ejection a single failure ejects it again
	u.until = now.Add(o.ejectionTime(u.ejections))
	u.ejections++
	return true
}

// Ejected reports whether an upstream is ejected and gets no new work.
func (o *Outliers) Ejected(now time.Time, name string) bool {
	u, ok := o.upstreams[name]
	return ok && now.Before(u.until)
}

// mayEject reports whether one more upstream of the group can be ejected within MaxShare.
func (o *Outliers) mayEject(now time.Time, group string) bool {
	members, ejected := 0, 0
	for _, u := range o.upstreams {
		if u.group != group {
			continue
		}
		members++
		if now.Before(u.until) {
			ejected++
		}
	}
	return float64(ejected+1) <= o.config.MaxShare*float64(members)
}

// ejectionTime returns the length of an ejection after the given number of earlier ones.
func (o *Outliers) ejectionTime(earlier int) time.Duration {
	d := o.config.BaseTime
	for range earlier {
		d *= 2
		if d >= o.config.MaxTime {
			return o.config.MaxTime
		}
	}
	return d
}
