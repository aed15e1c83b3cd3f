package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// MaxNameBytes bounds the length of an object's name.
const MaxNameBytes = 128

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._/-]*[a-z0-9])?$`)

// specValidators holds the validator of each kind in WatchedKinds.
var specValidators = map[string]func(platform.Object) error{
	KindEngine:        specValidator(checkEngine),
	KindRunner:        specValidator(checkRunner),
	KindModel:         specValidator(checkModel),
	KindAdapter:       specValidator(checkAdapter),
	KindVersion:       specValidator(checkVersion),
	KindRoute:         specValidator(checkRoute),
	KindClientAccount: specValidator(checkClientAccount),
	KindService:       specValidator(checkService),
	KindInstance:      specValidator(checkInstance),
	KindDrain:         specValidator(checkDrain),
}

// Decode decodes the spec of an object. It returns an *errkind.Error of kind InvalidObject
// that names the field if the spec is malformed, has an unknown field, or is followed by
// other data.
func Decode[T any](o platform.Object) (T, error) {
	var spec T
	decoder := json.NewDecoder(bytes.NewReader(o.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return spec, decodeError(o, err)
	}
	if decoder.More() {
		return spec, invalidError(o, "spec", "has data after its end")
	}
	return spec, nil
}

// Encode returns an object of the given kind and name whose Spec is spec encoded as JSON.
func Encode(kind, name string, spec any) (platform.Object, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return platform.Object{}, errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	return platform.Object{Kind: kind, Name: name, Spec: raw}, nil
}

// Validate checks an object before it is accepted: its kind, its name and every field
// of its spec. It returns an *errkind.Error of kind InvalidObject whose Field is the
// first invalid field and whose message lists every invalid field of the spec with its
// value and what is allowed. It does not check whether the objects that the spec refers to
// exist, because objects may be written in any order.
func Validate(o platform.Object) error {
	if len(o.Name) > MaxNameBytes || !namePattern.MatchString(o.Name) {
		return invalidError(o, "name", fmt.Sprintf("%q: allowed are 1 to %d of a-z 0-9 . _ - /", o.Name, MaxNameBytes))
	}
	if len(o.Spec) > platform.MaxValueBytes {
		return invalidError(o, "spec", fmt.Sprintf("%d bytes: allowed are %d", len(o.Spec), platform.MaxValueBytes))
	}
	check, ok := specValidators[o.Kind]
	if !ok {
		return invalidError(o, "kind", fmt.Sprintf("%q: allowed are %s", o.Kind, strings.Join(WatchedKinds, ", ")))
	}
	return check(o)
}

// KnownKind reports whether objects of this kind are part of the configuration.
func KnownKind(kind string) bool {
	_, ok := specValidators[kind]
	return ok
}

// fieldError describes one invalid field.
type fieldError struct {
	field   string
	message string
}

// checker collects the invalid fields of a spec, so that an operator sees all of them in
// one message.
type checker struct {
	fieldErrors []fieldError
}

// require records field as invalid unless ok is true; allowed describes the valid values.
func (c *checker) require(ok bool, field string, value any, allowed string) {
	if ok {
		return
	}
	c.fieldErrors = append(c.fieldErrors, fieldError{field, fmt.Sprintf("%v: %s", quoted(value), allowed)})
}

// quoted formats a value for a message, with quotes if it is a string.
func quoted(value any) string {
	if s, ok := value.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf("%v", value)
}

// specValidator returns a function that decodes the spec of an object and checks it.
func specValidator[T any](check func(*checker, T)) func(platform.Object) error {
	return func(o platform.Object) error {
		spec, err := Decode[T](o)
		if err != nil {
			return err
		}
		var c checker
		check(&c, spec)
		return c.toError(o)
	}
}

// toError returns an error that lists the invalid fields, or nil if there are none.
func (c *checker) toError(o platform.Object) error {
	if len(c.fieldErrors) == 0 {
		return nil
	}
	lines := make([]string, 0, len(c.fieldErrors))
	for _, e := range c.fieldErrors {
		lines = append(lines, e.field+" "+e.message)
	}
	err := invalidError(o, c.fieldErrors[0].field, strings.Join(lines, "; "))
	return err
}

// invalidError returns an error of kind InvalidObject for one field of an object.
func invalidError(o platform.Object, field, message string) *errkind.Error {
	return errkind.Field(errkind.InvalidObject, field, fmt.Sprintf("%s/%s: %s", o.Kind, o.Name, message))
}

// decodeError converts an error of encoding/json to an error that names the field, or
// "spec" if encoding/json does not say which field is at fault. encoding/json has no error
// type for an unknown field, so its message is parsed.
func decodeError(o platform.Object, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalidError(o, wrongType.Field, fmt.Sprintf("%s %s: must be %s", wrongType.Field, wrongType.Value, wrongType.Type))
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		name = strings.Trim(name, `"`)
		return invalidError(o, name, fmt.Sprintf("%s: unknown field", name))
	}
	return invalidError(o, "spec", err.Error())
}
