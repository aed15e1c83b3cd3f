package routing

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// encodedConfig is the CBOR form in which instances send a version of the configuration to each other.
// It holds digests of API keys, not the keys.
type encodedConfig struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	Accounts []Account `cbor:"5,keyasint"`
}

// Encode returns the CBOR encoding of a version of the configuration.
func Encode(c *Config) ([]byte, error) {
	e := encodedConfig{Version: c.Version, Routes: c.Routes, Limits: c.Limits, Accounts: c.accounts}
	for _, s := range c.Services {
		e.Services = append(e.Services, s)
	}
	data, err := cbor.Marshal(e)
	return data, errors.Wrapf(err, "configuration %d", c.Version)
}

// Decode decodes a version of the configuration that Encode encoded. It returns an error if data is
// malformed or holds no version number.
func Decode(data []byte) (*Config, error) {
	var e encodedConfig
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "configuration of a peer")
	}
	if e.Version == 0 {
		return nil, errors.New("configuration of a peer: no version")
	}
	return New(e.Version, e.Routes, e.Services, e.Limits, e.Accounts...), nil
}
