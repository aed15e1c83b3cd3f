// Command ragwortctl is the operators' command line; see package command. SIGINT and
// SIGTERM end a running command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ragworttrestle/ragworttrestle/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
