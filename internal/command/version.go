package command

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// versionCommand implements "version".
type versionCommand struct {
	session *session
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	fmt.Fprintf(c.session.Out, "ragwortctl revision=%s go=%s peerProtocol=%d\n", revision(), runtime.Version(), peer.ProtocolVersion)
	return nil
}

// revision returns the commit that the program was built from, with the suffix
// "-modified" if the working tree had changes.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, suffix := "unknown", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			commit = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				suffix = "-modified"
			}
		}
	}
	return commit + suffix
}
