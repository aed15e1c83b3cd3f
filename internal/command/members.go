package command

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
)

// Member states, as the operators' port reports them.
const (
	memberLive      = "live"
	memberSuspected = "suspected"
)

// pollInterval is the pause between two polls while waiting.
const pollInterval = 200 * time.Millisecond

// mergeMember merges two reports about one daemon. Applied is the higher of the two
// versions. State is live if either report says so, and otherwise that of b. If a is the
// zero Member, mergeMember returns b.
func mergeMember(a, b ops.Member) ops.Member {
	if a.Name == "" {
		return b
	}
	b.Applied = max(a.Applied, b.Applied)
	if a.State == memberLive {
		b.State = memberLive
	}
	return b
}

func sortedMembers(merged map[string]ops.Member) []ops.Member {
	out := make([]ops.Member, 0, len(merged))
	for _, m := range merged {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b ops.Member) int {
		return strings.Compare(a.Zone+" "+a.Role+" "+a.Name, b.Zone+" "+b.Role+" "+b.Name)
	})
	return out
}

// lagging returns a description of each live or suspected daemon that has not applied a
// version yet. A suspected daemon may be alive behind a network partition, so it is
// included until its state changes to lost. Leaving daemons are not included.
func lagging(members []ops.Member, version uint64) []string {
	var out []string
	for _, m := range members {
		counts := m.State == memberLive || m.State == memberSuspected
		if counts && m.Applied < version {
			out = append(out, fmt.Sprintf("%s %s in %s (%s, has %d)", m.Role, m.Name, m.Zone, m.State, m.Applied))
		}
	}
	return out
}

// waitApplied waits until every live or suspected daemon has applied a version. After
// timeout it returns an error that names the daemons that lag.
func (s *session) waitApplied(version uint64, timeout time.Duration) error {
	client, err := s.newOperatorsClient()
	if err != nil {
		return err
	}
	defer client.close()
	deadline := time.Now().Add(timeout)
	for {
		members, err := client.members(s.ctx)
		behind := lagging(members, version)
		if err == nil && len(members) > 0 && len(behind) == 0 {
			fmt.Fprintf(s.Out, "in force at %d daemons version=%d\n", countLive(members), version)
			return nil
		}
		if time.Now().After(deadline) {
			return waitError(version, timeout, behind, err)
		}
		if err := platform.Sleep(s.ctx, pollInterval); err != nil {
			return err
		}
	}
}

// waitError returns the error of waitApplied after its timeout. behind are the
// descriptions from lagging; err is the error of the last poll, or nil.
func waitError(version uint64, timeout time.Duration, behind []string, err error) error {
	message := fmt.Sprintf("written, but version %d is not in force everywhere after %s", version, timeout)
	if err != nil {
		return errkind.Wrap(err, errkind.DeadlineExceeded, errkind.Ran, message)
	}
	if len(behind) == 0 {
		return errkind.New(errkind.DeadlineExceeded, errkind.Ran, message+": no daemon is known")
	}
	return errkind.New(errkind.DeadlineExceeded, errkind.Ran, message+"; behind are "+strings.Join(behind, ", "))
}

func countLive(members []ops.Member) int {
	count := 0
	for _, m := range members {
		if m.State == memberLive {
			count++
		}
	}
	return count
}
