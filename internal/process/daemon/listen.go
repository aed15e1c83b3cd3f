package daemon

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// Port describes a port to open.
type Port struct {
	Field    string // name of the settings field, for errors
	Settings settings.Listener
	Listener *net.Listener // where Listen stores the listener and Close finds it
}

// Listen opens all ports. If one cannot be opened, it closes those that it has opened
// and returns an error that names the settings field.
func Listen(ports ...Port) error {
	for i, p := range ports {
		l, err := open(p.Settings)
		if err != nil {
			Close(ports[:i]...)
			return errors.Wrap(err, p.Field)
		}
		*p.Listener = l
	}
	return nil
}

// Close closes the listeners of the ports, except those that are nil.
func Close(ports ...Port) {
	for _, p := range ports {
		if *p.Listener != nil {
			(*p.Listener).Close()
		}
	}
}

// open opens a port, with TLS if its settings name a certificate.
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

// AdvertisedAddress returns the host:port that peers dial: the one in the settings, or
// the address of the open listener if the settings name none. If the settings name port
// 0, with which tests let the kernel choose one, it is replaced by the port that was opened.
func AdvertisedAddress(p settings.Peer, opened net.Addr) string {
	host, port, err := net.SplitHostPort(p.Advertise)
	if err != nil {
		return opened.String()
	}
	if port != "0" {
		return p.Advertise
	}
	_, port, _ = net.SplitHostPort(opened.String())
	return net.JoinHostPort(host, port)
}
