package entry

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// listeners holds the open ports for callers, the readiness check and operators. A port without an address in
// the settings is nil.
type listeners struct {
	callers   *caller.Listener
	ready     net.Listener
	operators net.Listener
}

// portWait is how long a process that starts waits for a port in use. An earlier process may hold it for a moment, or a
// connection of another program, if the port is one of those that the kernel chooses from.
const portWait = 10 * time.Second

// openWhenFree does the same as open, but waits for ports in use, for portWait at most. It also returns an error if ctx ends.
func (l *listeners) openWhenFree(ctx context.Context, s settings.EntryListen) error {
	start := time.Now()
	for pause := minRetryPause; ; pause = min(retryPauseGrowth*pause, maxRetryPause) {
		err := l.open(s)
		if !errors.Is(err, unix.EADDRINUSE) || time.Since(start) >= portWait {
			return err
		}
		logline.Error(err, "port in use", "waited_ms", time.Since(start).Milliseconds(), "then", "this instance tries again")
		if platform.Sleep(ctx, addJitter(pause)) != nil {
			return err
		}
	}
}

// open opens all ports that have an address, or none. An error names the setting and its address.
func (l *listeners) open(s settings.EntryListen) error {
	if s.Callers != "" {
		var err error
		if l.callers, err = caller.Listen(s.Callers); err != nil {
			return errors.Wrap(err, "listen.callers")
		}
	}
	err := daemon.Listen(l.ports(s)...)
	if err != nil && l.callers != nil {
		_ = l.callers.Close()
	}
	return err
}

// close closes all ports.
func (l *listeners) close(s settings.EntryListen) {
	if l.callers != nil {
		_ = l.callers.Close()
	}
	daemon.Close(l.ports(s)...)
}

// ports describes the other ports than the callers' for package daemon.
func (l *listeners) ports(s settings.EntryListen) []daemon.Port {
	var ports []daemon.Port
	if s.Ready != "" {
		ports = append(ports, daemon.Port{Field: "listen.ready", Settings: settings.Listener{Address: s.Ready}, Listener: &l.ready})
	}
	if s.Operators != "" {
		ports = append(ports, daemon.Port{Field: "listen.operators", Settings: settings.Listener{Address: s.Operators}, Listener: &l.operators})
	}
	return ports
}

// servePorts serves the open ports. The result of each server is sent on the returned channel when it ends.
func (e *Entry) servePorts(l *listeners) <-chan error {
	ended := make(chan error, 3)
	if l.callers != nil {
		e.spawn(func() { ended <- e.callerServer.Serve(l.callers, nil) })
	}
	if l.ready != nil {
		e.spawn(func() { ended <- serveListener(e.readyServer, l.ready) })
	}
	if l.operators != nil {
		e.spawn(func() { ended <- serveListener(e.operatorServer, l.operators) })
	}
	return ended
}

// serveListener serves until the server is closed, which is no error.
func serveListener(server *caller.Server, l net.Listener) error {
	guarded, err := caller.NewListener(l)
	if err != nil {
		return err
	}
	return server.Serve(guarded, nil)
}
