package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
)

// enginePool keeps one engine client for each runner of the configuration.
type enginePool struct {
	open func(runner, address string) upstream.Engine

	mu       sync.Mutex
	byRunner map[string]pooledEngine
}

// pooledEngine is an engine client and the address for which it was created.
type pooledEngine struct {
	address string
	engine  upstream.Engine
}

// newEnginePool returns a pool that creates clients with open. If open is nil, it creates HTTP clients
// that close a connection after it was idle for the time idle. If idle is 0, the clients use their
// default, which is meant for connections on which runs are sent.
func newEnginePool(open func(runner, address string) upstream.Engine, idle time.Duration) *enginePool {
	if open == nil {
		open = func(runner, address string) upstream.Engine {
			return upstream.NewHTTP(address, upstream.HTTPOptions{Name: runner, IdleTimeout: idle})
		}
	}
	return &enginePool{open: open, byRunner: make(map[string]pooledEngine)}
}

// get returns the client of a runner. If the runner's address has changed, it creates another client;
// calls in flight on the former client continue.
func (p *enginePool) get(runner, address string) upstream.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.byRunner[runner]
	if ok && current.address == address {
		return current.engine
	}
	if ok {
		closeIdleConns(current.engine)
	}
	engine := p.open(runner, address)
	p.byRunner[runner] = pooledEngine{address, engine}
	return engine
}

// retain drops the clients of runners that are no longer in the configuration.
func (p *enginePool) retain(s *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, current := range p.byRunner {
		if _, ok := s.Runners[name]; !ok {
			closeIdleConns(current.engine)
			delete(p.byRunner, name)
		}
	}
}

// closeIdle closes the idle connections to a runner.
func (p *enginePool) closeIdle(runner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, ok := p.byRunner[runner]; ok {
		closeIdleConns(current.engine)
	}
}

// close drops all clients and closes their idle connections.
func (p *enginePool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, current := range p.byRunner {
		closeIdleConns(current.engine)
	}
	clear(p.byRunner)
}

// closeIdleConns closes the idle connections of a client that implements io.Closer.
func closeIdleConns(engine upstream.Engine) {
	if c, ok := engine.(io.Closer); ok {
		_ = c.Close()
	}
}
