// Command ragwort-gateway is the data path: it serves callers, routes their requests to
// runners and plain services, and relays the answers. It stops gracefully on
// SIGTERM and SIGINT.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/gateway"
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
		logline.Error(err, "gateway failed")
		os.Exit(errkind.Lookup(errkind.From(err).Kind).ExitCode)
	}
}

func run(opts options) error {
	s, err := settings.LoadGateway(opts.Settings, opts.Overrides)
	if err != nil {
		return err
	}
	g, err := gateway.New(gateway.Config{Settings: s})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return g.Run(ctx)
}
