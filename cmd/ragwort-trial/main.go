// Command ragwort-trial runs the whole system in one process, with stand-ins for the
// platform, the runners and a plain service. It prints commands to try and serves until
// SIGTERM or SIGINT.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/trial"
)

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:8080" description:"host:port of the first gateway"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(errkind.ExitUsage)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "ragwort-trial:", err)
		os.Exit(errkind.ExitInternal)
	}
}

func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	t, err := trial.New(ctx, trial.Config{Listen: opts.Listen})
	if err != nil {
		return err
	}
	t.Help(os.Stdout)
	return t.Run(ctx)
}
