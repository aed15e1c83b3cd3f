package place

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/decay"
)

// meanHalfLife is the half-life of the weight of a report in the mean.
const meanHalfLife = time.Second

// group identifies the upstreams of a service that have the same role.
type group struct {
	service string
	role    upstream.Role
}

// groupMean is the mean of the untracked requests (see upstreamState.untracked) over the load
// reports of a group. The weight of each report decays exponentially with its age.
type groupMean struct {
	value     float64
	weight    float64 // decayed number of reports
	decayedAt time.Time
}

// add adds the untracked requests of one load report.
func (m *groupMean) add(now time.Time, value float64) {
	m.weight = m.weight*decay.Factor(now.Sub(m.decayedAt), meanHalfLife) + 1
	m.decayedAt = now
	m.value += (value - m.value) / m.weight
}

// estimate returns the number of untracked requests assumed at an upstream without a recent
// load report. The mean includes one additional report of an idle upstream, so that a single
// report doesn't stand for the whole group.
func (m *groupMean) estimate(now time.Time) float64 {
	weight := m.weight * decay.Factor(now.Sub(m.decayedAt), meanHalfLife)
	return m.value * weight / (weight + 1)
}
