// Command ragwortctl is the operators' command line.
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
