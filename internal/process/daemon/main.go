package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// options holds the command line flags. Those in Overrides take precedence over the
// settings file.
type options struct {
	Settings  string             `long:"settings" short:"s" required:"true" description:"settings file, JSON with comments"`
	Overrides settings.Overrides `group:"Overrides"`
}

// Daemon is a daemon that serves until ctx ends and then stops gracefully.
type Daemon interface {
	Run(ctx context.Context) error
}

// Main is the main function of a daemon. It parses the command line flags, sends the log
// to standard output, calls newDaemon with the path of the settings file, and runs the
// daemon until SIGTERM or SIGINT. After an error it exits with the exit code of the
// error's kind, and after wrong flags with errkind.ExitUsage.
func Main(newDaemon func(path string, flags settings.Overrides) (Daemon, error)) {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			os.Exit(errkind.ExitOK)
		}
		os.Exit(errkind.ExitUsage)
	}
	flush, err := logline.ToStandardOutput()
	if err != nil {
		logline.Error(err, "logging not set up")
		os.Exit(errkind.ExitInternal)
	}
	err = run(opts, newDaemon)
	if err != nil {
		logline.Error(err, "daemon failed")
	}
	flush()
	if err != nil {
		os.Exit(errkind.Lookup(errkind.From(err).Kind).ExitCode)
	}
}

// run creates the daemon and runs it until SIGTERM or SIGINT.
func run(opts options, newDaemon func(string, settings.Overrides) (Daemon, error)) error {
	d, err := newDaemon(opts.Settings, opts.Overrides)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}
