package runner

import (
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Command is the subcommand "runner" of ragwort-standin.
type Command struct {
	Listen           string        `long:"listen" default:"127.0.0.1:0" description:"host:port to listen on"`
	Name             string        `long:"name" required:"true" description:"runner name"`
	Role             string        `long:"role" default:"both" description:"role at start: both, prefill or decode"`
	Load             []string      `long:"load" description:"model:version[:adapter,...] held at start; may repeat"`
	ChecksFencing    bool          `long:"checks-fencing" description:"refuse an order with an old fencing number"`
	DeduplicatesRuns bool          `long:"deduplicates-runs" description:"attach a second run of the same id to the first"`
	Sampling         bool          `long:"sampling" description:"answer with another text than other runners would"`
	Speed            float64       `long:"speed" default:"1" description:"run the cost model this many times faster"`
	ReportLag        time.Duration `long:"report-lag" default:"2s" description:"age of load reports"`
	CacheEventLag    time.Duration `long:"cache-event-lag" default:"1s" description:"lateness of cache events"`
}

// Execute implements flags.Commander. It serves until SIGTERM or SIGINT.
func (c *Command) Execute([]string) error {
	config, err := c.config()
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	r := New(config)
	defer r.Close()
	url, err := r.Listen(c.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", c.Listen)
	}
	logline.Info("stand-in listening", "kind", "runner", "runner", c.Name, "address", url)
	<-stop
	return nil
}

// config converts the flags to a Config. The error names the flag or the field that is invalid.
func (c *Command) config() (Config, error) {
	out := Config{
		Name: c.Name, Role: upstream.Role(c.Role), Speed: c.Speed, Sampling: c.Sampling,
		ChecksFencing: c.ChecksFencing, DeduplicatesRuns: c.DeduplicatesRuns,
		ReportLag: c.ReportLag, CacheEventLag: c.CacheEventLag,
	}
	if c.Speed <= 0 {
		return Config{}, errors.Errorf("--speed is %g, want more than 0", c.Speed)
	}
	for _, text := range c.Load {
		l, err := parseLoaded(text)
		if err != nil {
			return Config{}, err
		}
		out.Loaded = append(out.Loaded, l)
	}
	return out, out.withDefaults().validate()
}

// parseLoaded parses a value of --load: model:version[:adapter,...].
func parseLoaded(text string) (upstream.Loaded, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" || parts[1] == "" {
		return upstream.Loaded{}, errors.Errorf("--load is %q, want model:version or model:version:adapter,adapter", text)
	}
	l := upstream.Loaded{Model: parts[0], Version: parts[1]}
	if len(parts) == 3 {
		l.Adapters = strings.Split(parts[2], ",")
	}
	return l, nil
}
