package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
)

// engines keeps one engine client for each runner of the configuration.
type engines struct {
	open func(runner, address string) upstream.Engine

	mu    sync.Mutex
	byRun map[string]openEngine
}

type openEngine struct {
	address string
	engine  upstream.Engine
}

// newEngines opens clients by open; nil: the HTTP form, whose idle connections are
// kept for idle (0: the default, which suits runs).
func newEngines(open func(runner, address string) upstream.Engine, idle time.Duration) *engines {
	if open == nil {
		open = func(runner, address string) upstream.Engine {
			return upstream.NewHTTP(address, upstream.HTTPOptions{Name: runner, IdleTimeout: idle})
		}
	}
	return &engines{open: open, byRun: make(map[string]openEngine)}
}

// get gives the client of a runner at an address. A runner that moved to another
// address gets another client; calls on the former one run to their end.
func (e *engines) get(runner, address string) upstream.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	have, ok := e.byRun[runner]
	if ok && have.address == address {
		return have.engine
	}
	if ok {
		closeIdle(have.engine)
	}
	engine := e.open(runner, address)
	e.byRun[runner] = openEngine{address, engine}
	return engine
}

// keep drops the clients of runners that left the configuration.
func (e *engines) keep(s *config.Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, have := range e.byRun {
		if _, ok := s.Runners[name]; !ok {
			closeIdle(have.engine)
			delete(e.byRun, name)
		}
	}
}

// closeIdle drops the idle connections to a runner.
func (e *engines) closeIdle(runner string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if have, ok := e.byRun[runner]; ok {
		closeIdle(have.engine)
	}
}

// close drops every client's idle connections.
func (e *engines) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, have := range e.byRun {
		closeIdle(have.engine)
	}
	clear(e.byRun)
}

func closeIdle(engine upstream.Engine) {
	if c, ok := engine.(io.Closer); ok {
		_ = c.Close()
	}
}
