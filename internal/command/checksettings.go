package command

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// Kinds of daemons whose settings can be checked.
const (
	daemonGateway    = "gateway"
	daemonController = "controller"
	daemonEntry      = "entry"
)

// checkSettingsCommand implements "check-settings".
type checkSettingsCommand struct {
	Daemon string `long:"daemon" choice:"gateway" choice:"controller" choice:"entry" description:"whose settings they are; default: told by their fields"`
	Args   struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute implements flags.Commander.
func (c *checkSettingsCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	daemon, err := c.detectDaemon()
	if err != nil {
		return err
	}
	if err := loadSettings(daemon, c.Args.File); err != nil {
		return err
	}
	fmt.Fprintf(c.session.Out, "%s: valid settings of a %s\n", c.Args.File, daemon)
	return nil
}

// loadSettings loads and validates a file as the settings of a daemon.
func loadSettings(daemon, file string) error {
	var err error
	switch daemon {
	case daemonController:
		_, err = settings.LoadController(file, settings.Overrides{})
	case daemonEntry:
		_, err = settings.LoadEntry(file)
	default:
		_, err = settings.LoadGateway(file, settings.Overrides{})
	}
	return err
}

// detectDaemon returns the kind of daemon given by --daemon, or else the kind that the
// file's fields belong to: only controllers have a lease or a policy, and only entry
// processes have a store. A file that can't be parsed is taken for a gateway's, so that
// its loader reports the error.
func (c *checkSettingsCommand) detectDaemon() (string, error) {
	if c.Daemon != "" {
		return c.Daemon, nil
	}
	raw, err := os.ReadFile(c.Args.File)
	if err != nil {
		return "", usagef("%v", err)
	}
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return daemonGateway, nil
	}
	var distinctive struct {
		Lease  json.RawMessage `json:"lease"`
		Policy json.RawMessage `json:"policy"`
		Store  json.RawMessage `json:"store"`
	}
	if json.Unmarshal(plain, &distinctive) == nil && (distinctive.Lease != nil || distinctive.Policy != nil) {
		return daemonController, nil
	}
	if distinctive.Store != nil {
		return daemonEntry, nil
	}
	return daemonGateway, nil
}
