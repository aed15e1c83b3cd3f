package service

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Command is the subcommand "service" of ragwort-standin.
type Command struct {
	Listen       string `long:"listen" default:"127.0.0.1:0" description:"host:port to listen on"`
	Name         string `long:"name" required:"true" description:"upstream name"`
	Deduplicates bool   `long:"honours-key" description:"deduplicate calls by Idempotency-Key"`
}

// Execute implements flags.Commander. It serves until SIGTERM or SIGINT.
func (c *Command) Execute([]string) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	s := New(Config{Name: c.Name, Deduplicates: c.Deduplicates})
	defer s.Close()
	url, err := s.Listen(c.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", c.Listen)
	}
	logline.Info("stand-in listening", "kind", "service", "upstream", c.Name, "address", url)
	<-stop
	return nil
}
