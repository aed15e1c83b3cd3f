package daemon

import (
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// Keys holds the values of the keys that the settings name. A key that the settings do not
// name is empty.
type Keys struct {
	Platform  string // for calls to the platform
	Operators string // that requests to the operators' port must present
	Peers     string // shared by all daemons
}

// ReadKeys reads all keys from their files or environment variables. Its error names the
// settings field of the first key that cannot be read.
func ReadKeys(p settings.Platform, o settings.Operators, peers settings.Peer) (Keys, error) {
	var keys Keys
	sources := []struct {
		field  string
		secret settings.Secret
		target *string
	}{
		{"platform.key", p.Key, &keys.Platform},
		{"operators.key", o.Key, &keys.Operators},
		{"peer.sharedKey", peers.SharedKey, &keys.Peers},
	}
	for _, s := range sources {
		value, err := s.secret.Read()
		if err != nil {
			return Keys{}, errors.Wrap(err, s.field)
		}
		*s.target = value
	}
	return keys, nil
}
