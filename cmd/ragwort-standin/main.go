// Command ragwort-standin runs a stand-in for one part that the system depends on, for
// tests and trials: the platform's object API, a model engine or a plain service.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/service"
)

type options struct {
	Platform platform.Command `command:"platform" description:"the platform's object API, in memory"`
	Runner   runner.Command   `command:"runner" description:"a model engine"`
	Service  service.Command  `command:"service" description:"a plain service"`
}

func main() {
	var opts options
	_, err := flags.NewParser(&opts, flags.Default).Parse()
	if err == nil || flags.WroteHelp(err) {
		return
	}
	if _, usage := err.(*flags.Error); usage {
		os.Exit(errkind.ExitUsage)
	}
	os.Exit(errkind.ExitInternal)
}
