package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// settingsPollInterval is how often the settings are read again if there is no signal.
const settingsPollInterval = 5 * time.Second

// notifyReloads catches SIGHUP from now on, which would otherwise end the process. It returns the channel
// on which the signal arrives.
func notifyReloads() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// watchSettings applies changed settings, on SIGHUP and when the file has changed without a signal.
// Settings that can't change in a running process (name, zone, addresses) stay as they are until
// the next start.
func (e *Entry) watchSettings(ctx context.Context) {
	defer signal.Stop(e.reloadSignals)
	if e.cfg.Reload == nil {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-e.reloadSignals:
			signaled = true
		case <-ticker.C:
		}
		e.reload(signaled)
	}
}

// reload reads the settings and applies those that may change in a running process. signaled is for the
// log: a signal requested the reload.
func (e *Entry) reload(signaled bool) {
	s, err := e.cfg.Reload()
	if err != nil {
		logline.Info("settings refused", "error", err, "signal", signaled)
		return
	}
	changed := e.applySettings(s)
	if changed || signaled {
		logline.Info("settings read", "changed", changed, "signal", signaled)
	}
}

// applySettings applies the settings that may change in a running process. It reports whether the
// bounds or roles have changed.
func (e *Entry) applySettings(s *settings.Entry) bool {
	old := e.liveSettings.Swap(&liveSettings{bounds: s.Bounds, roles: s.Roles})
	changed := old.bounds != s.Bounds || old.roles != s.Roles
	if changed {
		e.state.setBounds(s.Bounds)
	}
	e.requestLog.setRate(s.Logging.LinesPerSecond)
	return changed
}

// liveSettings holds the settings that may change while the process runs.
type liveSettings struct {
	bounds settings.EntryBounds
	roles  settings.EntryRoles
}
