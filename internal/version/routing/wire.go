package routing

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// wireConfig is a version as instances pass it on to each other, in CBOR. Of API keys it has only
// digests.
type wireConfig struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	Accounts []Account `cbor:"5,keyasint"`
}

// Encode gives the bytes of a version.
func Encode(c *Config) ([]byte, error) {
	w := wireConfig{Version: c.Version, Routes: c.Routes, Limits: c.Limits, Accounts: c.accounts}
	for _, s := range c.Services {
		w.Services = append(w.Services, s)
	}
	data, err := cbor.Marshal(w)
	return data, errors.Wrapf(err, "configuration %d", c.Version)
}

// Decode reads a version.
func Decode(data []byte) (*Config, error) {
	var w wireConfig
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "configuration of a peer")
	}
	if w.Version == 0 {
		return nil, errors.New("configuration of a peer: no version")
	}
	return New(w.Version, w.Routes, w.Services, w.Limits, w.Accounts...), nil
}
