package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Overrides holds command line flags. Each one that is not empty overrides a field of the
// settings file.
type Overrides struct {
	Name            string `long:"name" description:"instance name"`
	Zone            string `long:"zone" description:"availability zone"`
	PlatformAddress string `long:"platform" description:"base URL of the platform's object API"`
	Listen          string `long:"listen" description:"host:port of the data port"`
	PeerListen      string `long:"peer-listen" description:"host:port of the peer port"`
	OperatorsListen string `long:"operators-listen" description:"host:port of the operators' port"`
}

// LoadGateway reads the settings of a gateway from a file, applies flags and defaults, and
// validates the result. All its errors are of kind InvalidSettings.
func LoadGateway(path string, flags Overrides) (*Gateway, error) {
	s := &Gateway{}
	if err := readFile(path, s); err != nil {
		return nil, err
	}
	override(&s.Listen.Address, flags.Listen)
	flags.applyCommon(&s.Instance, &s.Platform, &s.Peer, &s.Operators)
	s.SetDefaults()
	return s, s.Validate()
}

// LoadController reads the settings of a controller from a file, applies flags and
// defaults, and validates the result. All its errors are of kind InvalidSettings.
func LoadController(path string, flags Overrides) (*Controller, error) {
	s := &Controller{}
	if err := readFile(path, s); err != nil {
		return nil, err
	}
	flags.applyCommon(&s.Instance, &s.Platform, &s.Peer, &s.Operators)
	s.SetDefaults()
	return s, s.Validate()
}

// applyCommon applies the flags that gateways and controllers share.
func (o Overrides) applyCommon(i *Instance, p *Platform, peer *Peer, ops *Operators) {
	override(&i.Name, o.Name)
	override(&i.Zone, o.Zone)
	override(&p.Address, o.PlatformAddress)
	override(&peer.Listen.Address, o.PeerListen)
	override(&ops.Listen.Address, o.OperatorsListen)
}

func override(field *string, flag string) {
	if flag != "" {
		*field = flag
	}
}

// readFile decodes a settings file of at most MaxFileBytes into target.
func readFile(path string, target any) error {
	info, err := os.Stat(path)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, errkind.NotRun, "read settings")
	}
	if info.Size() > MaxFileBytes {
		return errkind.Field(errkind.InvalidSettings, "", fmt.Sprintf("%s has %d bytes: allowed are %d", path, info.Size(), MaxFileBytes))
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, errkind.NotRun, "read settings")
	}
	return Parse(raw, target)
}

// Parse decodes JSON with comments into target. Unknown fields and data after the JSON
// value are errors. All its errors are of kind InvalidSettings.
func Parse(raw []byte, target any) error {
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, errkind.NotRun, "settings are not JSON with comments")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return parseError(err)
	}
	if decoder.More() {
		return errkind.Field(errkind.InvalidSettings, "", "settings have data after their end")
	}
	return nil
}

// parseError converts an error of the JSON decoder and names the field, if the error is
// about one.
func parseError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		message := fmt.Sprintf("%s %s: must be %s", wrongType.Field, wrongType.Value, wrongType.Type)
		return errkind.Field(errkind.InvalidSettings, wrongType.Field, message)
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		name = strings.Trim(name, `"`)
		return errkind.Field(errkind.InvalidSettings, name, "unknown field")
	}
	return errkind.Wrap(err, errkind.InvalidSettings, errkind.NotRun, "settings cannot be read")
}
