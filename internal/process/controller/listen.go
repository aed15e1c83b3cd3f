package controller

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// listeners are the open ports of a controller.
type listeners struct {
	operators net.Listener
	peers     net.Listener
}

// listen opens every port of the settings, or none.
func listen(s *settings.Controller) (listeners, error) {
	var l listeners
	var err error
	if l.operators, err = open(s.Operators.Listen); err != nil {
		return l, errors.Wrap(err, "operators.listen")
	}
	if l.peers, err = open(s.Peer.Listen); err != nil {
		l.close()
		return l, errors.Wrap(err, "peer.listen")
	}
	return l, nil
}

// open opens one port, with TLS if its settings name a certificate.
func open(s settings.Listener) (net.Listener, error) {
	config, err := s.TLS.Server()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	if config != nil {
		return tls.NewListener(l, config), nil
	}
	return l, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.operators, l.peers} {
		if one != nil {
			one.Close()
		}
	}
}

func (l listeners) addresses() Addresses {
	return Addresses{Operators: l.operators.Addr(), Peers: l.peers.Addr()}
}

// secrets are the keys that the settings name.
type secrets struct {
	platform  string
	operators string
	peers     string
}

func readSecrets(s *settings.Controller) (secrets, error) {
	var out secrets
	var err error
	if out.platform, err = s.Platform.Key.Read(); err != nil {
		return out, errors.Wrap(err, "platform.key")
	}
	if out.operators, err = s.Operators.Key.Read(); err != nil {
		return out, errors.Wrap(err, "operators.key")
	}
	if out.peers, err = s.Peer.SharedKey.Read(); err != nil {
		return out, errors.Wrap(err, "peer.sharedKey")
	}
	return out, nil
}
