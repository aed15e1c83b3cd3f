package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

const (
	// configPath is where an instance serves its configuration in force.
	configPath = "/configuration"
	// configExchangeTimeout limits one transfer between instances.
	configExchangeTimeout = time.Second
	// maxConfigBytes limits an encoded configuration. The platform's own limit is a megabyte.
	maxConfigBytes = 4 << 20
	// versionRepeatDelay is the delay until a new version is announced again, as datagrams are lost
	// now and then.
	versionRepeatDelay = 300 * time.Millisecond
)

// sendConfig sends the configuration in force as one WebSocket message. It responds with status 503 if
// there is none yet.
func (s *peerExchange) sendConfig(w http.ResponseWriter, r *http.Request) {
	data, err := s.encodedConfig.encode(s.e.state.config.Load())
	if errors.Is(err, errNoConfig) {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		logline.Error(err, "configuration not passed on")
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		logline.Debug("configuration not passed on", "to", r.RemoteAddr, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), configExchangeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		logline.Debug("configuration not passed on", "to", r.RemoteAddr, "error", err)
	}
	_ = conn.Close(websocket.StatusNormalClosure, "") // the receiver may be gone
}

// errNoConfig means that no configuration is in force yet.
var errNoConfig = errors.New("no configuration yet")

// encodedConfig caches the encoded form of one version of the configuration, as all instances of an
// availability zone request a new version at once. It is safe for concurrent use.
type encodedConfig struct {
	mu      sync.Mutex
	version uint64
	data    []byte
}

// encode returns the encoded form of config, or errNoConfig if config is nil.
func (c *encodedConfig) encode(config *routing.Config) ([]byte, error) {
	if config == nil {
		return nil, errNoConfig
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data != nil && c.version == config.Version {
		return c.data, nil
	}
	data, err := routing.Encode(config)
	if err != nil {
		return nil, err
	}
	c.version, c.data = config.Version, data
	return data, nil
}

// fetchConfig gets the configuration that the instance at an address has in force.
func fetchConfig(ctx context.Context, address string) (*routing.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, configExchangeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+configPath, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "instance at %s", address)
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxConfigBytes)
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "instance at %s", address)
	}
	return routing.Decode(data)
}

// configVersion returns the version of the configuration in force; 0: none.
func (e *Entry) configVersion() uint64 {
	if c := e.state.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// observeVersion records the version that another instance has in force. If this instance has a newer
// one, observeVersion replies with an empty message, unless it did so a moment ago: each message
// carries the version of its sender.
func (s *peerExchange) observeVersion(now time.Time, from string, version uint64) {
	s.mu.Lock()
	reply := s.configVersions.Observe(now, from, version, s.e.configVersion())
	s.mu.Unlock()
	if reply {
		s.send(peers.Message{}, from)
	}
}

// fetchNewerConfig gets a newer configuration from another instance if this instance doesn't follow the
// configuration on the platform, or hasn't received that version from there in time: the platform may
// refuse the calls of this instance while it answers others.
func (s *peerExchange) fetchNewerConfig(ctx context.Context, now time.Time) {
	s.mu.Lock()
	from, due := s.configVersions.FetchFrom(now, s.e.configVersion(), s.core.MustFollowPlatform(now))
	s.mu.Unlock()
	if !due {
		return
	}
	s.e.spawn(func() {
		c, err := fetchConfig(ctx, from)
		if err != nil {
			logline.Info("configuration not got from a peer", "from", from, "error", err)
			return
		}
		logline.Info("configuration got from a peer", "from", from, "version", c.Version)
		s.e.installConfig(c, 0) // 0: the revision on the platform is unknown
	})
}

// announceVersion announces a new version to the availability zone, twice, while this instance follows
// the configuration on the platform. An empty message is enough, as each message carries the version
// of its sender.
func (s *peerExchange) announceVersion(ctx context.Context) {
	for _, delay := range []time.Duration{0, versionRepeatDelay} {
		if platform.Sleep(ctx, delay) != nil || !s.followsPlatform(time.Now()) {
			return
		}
		s.mu.Lock()
		zone := s.core.ZoneAddresses()
		s.mu.Unlock()
		s.send(peers.Message{}, zone...)
	}
}
