package platform

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Command is the subcommand "platform" of ragwort-standin.
type Command struct {
	Listen          string        `long:"listen" default:"127.0.0.1:0" description:"host:port to listen on"`
	Key             string        `long:"key" env:"RAGWORT_STANDIN_KEY" description:"bearer key that callers must give"`
	Latency         time.Duration `long:"latency" description:"of each call"`
	ReadsPerSecond  float64       `long:"reads-per-second" description:"refuse more; a waiting watch counts as one; 0: no limit"`
	WritesPerSecond float64       `long:"writes-per-second" description:"refuse more; 0: no limit"`
	HistoryEvents   int           `long:"history-events" default:"4096" description:"events kept for watches"`
}

// Execute implements flags.Commander. It serves until SIGTERM or SIGINT.
func (c *Command) Execute([]string) error {
	if err := c.validate(); err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	store := New(Config{
		Key:             c.Key,
		Latency:         c.Latency,
		ReadsPerSecond:  c.ReadsPerSecond,
		WritesPerSecond: c.WritesPerSecond,
		HistoryEvents:   c.HistoryEvents,
	})
	server, err := store.Listen(c.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", c.Listen)
	}
	defer server.Close()
	logline.Info("stand-in listening", "kind", "platform", "address", server.URL)
	<-stop
	return nil
}

// validate returns an error that names a flag with a negative value.
func (c *Command) validate() error {
	for name, value := range map[string]float64{
		"--latency":           c.Latency.Seconds(),
		"--reads-per-second":  c.ReadsPerSecond,
		"--writes-per-second": c.WritesPerSecond,
		"--history-events":    float64(c.HistoryEvents),
	} {
		if value < 0 {
			return errors.Errorf("%s is %g, want 0 or more", name, value)
		}
	}
	return nil
}
