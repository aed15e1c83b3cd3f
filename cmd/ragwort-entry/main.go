// Command ragwort-entry runs on every entry instance of the prepared platform. It
// forwards callers' requests to upstreams and stops gracefully on SIGTERM and SIGINT.
package main

import (
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/platform"
)

func main() {
	daemon.Main(func(path string, _ settings.Overrides) (daemon.Daemon, error) {
		return platform.NewEntry(path)
	})
}
