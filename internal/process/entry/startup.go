package entry

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// startup records how long this process takes to become ready and to get its first place for a request.
type startup struct {
	scope  tally.Scope
	start  time.Time
	ready  atomic.Bool
	placed atomic.Bool
}

func newStartup(scope tally.Scope) *startup { return &startup{scope: scope, start: time.Now()} }

// recordReady records that this process is ready. Only the first call has an effect.
func (s *startup) recordReady(configVersion uint64, upstreamsListed bool, placer string) {
	if s.ready.Swap(true) {
		return
	}
	after := time.Since(s.start)
	s.scope.Gauge("ready_after_seconds").Update(after.Seconds())
	logline.Info("ready", "ms", after.Milliseconds(), "config", configVersion, "upstreams_listed", upstreamsListed, "placer", placer)
}

// recordPlace records that a request got a place from the instance at an address, or from this process if from is
// empty. Only the first call has an effect.
func (s *startup) recordPlace(from string) {
	if s.placed.Swap(true) {
		return
	}
	after := time.Since(s.start)
	s.scope.Gauge("first_place_after_seconds").Update(after.Seconds())
	logline.Info("first place", "ms", after.Milliseconds(), "from", from)
}
