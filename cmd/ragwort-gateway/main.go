// Command ragwort-gateway is the data path: it accepts callers' requests, routes them
// to runners and plain services, and relays the responses. It stops gracefully on
// SIGTERM and SIGINT.
package main

import (
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/gateway"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

func main() {
	daemon.Main(func(path string, flags settings.Overrides) (daemon.Daemon, error) {
		s, err := settings.LoadGateway(path, flags)
		if err != nil {
			return nil, err
		}
		return gateway.New(gateway.Config{Settings: s})
	})
}
