// Command ragwort-controller holds leases of availability zones and sends orders to
// their engines. It stops gracefully on SIGTERM and SIGINT.
package main

import (
	"github.com/ragworttrestle/ragworttrestle/internal/process/controller"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

func main() {
	daemon.Main(func(path string, flags settings.Overrides) (daemon.Daemon, error) {
		s, err := settings.LoadController(path, flags)
		if err != nil {
			return nil, err
		}
		return controller.New(controller.Config{Settings: s})
	})
}
