package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
	"sigs.k8s.io/yaml"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// maxInputBytes is the maximum size of an input file.
const maxInputBytes = 16 << 20

// input is one object in an input file. UID, Writer and Nonce are accepted but not used,
// so that the output of get can be edited and applied.
type input struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version,omitempty"` // if set, the write replaces only this version
	UID     string          `json:"uid,omitempty"`
	Writer  string          `json:"writer,omitempty"`
	Nonce   string          `json:"nonce,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

func (i input) object() platform.Object {
	return platform.Object{Kind: i.Kind, Name: i.Name, Version: i.Version, Spec: i.Spec}
}

// qualifiedName returns the kind and name of an object, such as Route/chat.
func qualifiedName(o platform.Object) string { return o.Kind + "/" + o.Name }

// readInput reads and validates the objects of a file, or of in if path is "-".
func readInput(path string, in io.Reader) ([]platform.Object, error) {
	raw, err := readBounded(path, in)
	if err != nil {
		return nil, err
	}
	return parseInput(raw)
}

// readBounded reads the input. It returns an error if it is larger than maxInputBytes.
func readBounded(path string, in io.Reader) ([]byte, error) {
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usagef("%v", err)
		}
		defer file.Close()
		in = file
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, usagef("reading %s: %v", path, err)
	}
	if len(raw) > maxInputBytes {
		return nil, invalidInput("", fmt.Sprintf("%s has more than %d bytes", path, maxInputBytes))
	}
	return raw, nil
}

// parseInput parses and validates JSON with comments or YAML: one object, a list of
// objects, or YAML documents of either form. The error lists the invalid objects.
func parseInput(raw []byte) ([]platform.Object, error) {
	documents, err := toJSON(raw)
	if err != nil {
		return nil, err
	}
	var objects []platform.Object
	for _, document := range documents {
		inputs, err := decodeDocument(document, len(objects))
		if err != nil {
			return nil, err
		}
		for _, i := range inputs {
			objects = append(objects, i.object())
		}
	}
	if len(objects) == 0 {
		return nil, invalidInput("", "the input holds no object")
	}
	return objects, validateObjects(objects)
}

// yamlSeparator matches the line between two YAML documents.
var yamlSeparator = regexp.MustCompile(`(?m)^---[ \t]*(?:#.*)?$`)

// toJSON converts each document of the input to plain JSON. Input that starts like JSON
// is not tried as YAML, so that the error is about the JSON.
func toJSON(raw []byte) ([]json.RawMessage, error) {
	plain, jsonError := hujson.Standardize(bytes.Clone(raw))
	if jsonError == nil {
		return []json.RawMessage{plain}, nil
	}
	if start := bytes.TrimSpace(raw); len(start) > 0 && strings.ContainsRune("{[/", rune(start[0])) {
		return nil, errkind.Wrap(jsonError, errkind.InvalidObject, errkind.NotRun, "the input is not JSON with comments")
	}
	var documents []json.RawMessage
	for _, part := range yamlSeparator.Split(string(raw), -1) {
		plain, err := yaml.YAMLToJSONStrict([]byte(part))
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidObject, errkind.NotRun, "the input is neither JSON nor YAML")
		}
		if string(plain) != "null" {
			documents = append(documents, plain)
		}
	}
	return documents, nil
}

// decodeDocument decodes one object or a list of objects. Its errors name an object by
// its number in the whole input, for which preceding is the number of objects in earlier
// documents.
func decodeDocument(document json.RawMessage, preceding int) ([]input, error) {
	items := []json.RawMessage{document}
	if bytes.HasPrefix(bytes.TrimSpace(document), []byte("[")) {
		if err := json.Unmarshal(document, &items); err != nil {
			return nil, invalidInput("", err.Error())
		}
	}
	inputs := make([]input, 0, len(items))
	for n, item := range items {
		var i input
		decoder := json.NewDecoder(bytes.NewReader(item))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&i); err != nil {
			return nil, decodeError(preceding+n+1, err)
		}
		inputs = append(inputs, i)
	}
	return inputs, nil
}

// decodeError returns the error for object number of the input that the JSON decoder
// rejected with err.
func decodeError(number int, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalidInput(wrongType.Field, fmt.Sprintf("object %d: %s is a %s, want %s", number, wrongType.Field, wrongType.Value, wrongType.Type))
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		name = strings.Trim(name, `"`)
		return invalidInput(name, fmt.Sprintf("object %d: unknown field; allowed are kind, name, version, spec", number))
	}
	return invalidInput("", fmt.Sprintf("object %d: %v", number, err))
}

// validateObjects validates every object and rejects duplicates.
func validateObjects(objects []platform.Object) error {
	var problems []*errkind.Error
	seen := map[string]bool{}
	for _, o := range objects {
		if seen[qualifiedName(o)] {
			problems = append(problems, invalidInput("name", qualifiedName(o)+" stands twice in the input"))
		}
		seen[qualifiedName(o)] = true
		if err := validateObject(o); err != nil {
			problems = append(problems, errkind.From(err))
		}
	}
	if len(problems) == 0 {
		return nil
	}
	messages := make([]string, 0, len(problems))
	for _, p := range problems {
		messages = append(messages, p.Message)
	}
	return invalidInput(problems[0].Field, strings.Join(messages, "\n"))
}

// validateObject returns an error if operators may not write objects of this kind, or if
// the object is invalid.
func validateObject(o platform.Object) error {
	if !slices.Contains(resource.ConfigKinds, o.Kind) {
		return invalidInput("kind", fmt.Sprintf("%s: %q: operators write %s", qualifiedName(o), o.Kind, strings.Join(resource.ConfigKinds, ", ")))
	}
	return resource.Validate(o)
}

// invalidInput returns an error of kind InvalidObject. field is the name of the invalid
// field, or empty.
func invalidInput(field, message string) *errkind.Error {
	return errkind.Field(errkind.InvalidObject, field, message)
}
