// Command ragwort-controller holds leases of availability zones and gives orders to
// their engines. It stops gracefully on SIGTERM and SIGINT.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/controller"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// options are the flags; those of Overrides win over the settings file.
type options struct {
	Settings  string             `long:"settings" short:"s" required:"true" description:"settings file, JSON with comments"`
	Overrides settings.Overrides `group:"Overrides"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			os.Exit(errkind.ExitOK)
		}
		os.Exit(errkind.ExitUsage)
	}
	if err := run(opts); err != nil {
		logline.Error(err, "controller failed")
		os.Exit(errkind.Lookup(errkind.From(err).Kind).ExitCode)
	}
}

func run(opts options) error {
	s, err := settings.LoadController(opts.Settings, opts.Overrides)
	if err != nil {
		return err
	}
	c, err := controller.New(controller.Config{Settings: s})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return c.Run(ctx)
}
