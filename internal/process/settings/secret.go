package settings

import (
	"os"
	"strings"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// Set reports whether a file or an environment variable is configured.
func (s Secret) Set() bool { return s.File != "" || s.Env != "" }

// Read returns the secret without surrounding white space, or "" if neither a file nor an
// environment variable is configured. If the configured one is missing or empty, that is
// an error of kind InvalidSettings, because an empty key would grant access to everyone.
func (s Secret) Read() (string, error) {
	if s.File != "" {
		return s.readFile()
	}
	if s.Env == "" {
		return "", nil
	}
	value := strings.TrimSpace(os.Getenv(s.Env))
	if value == "" {
		return "", errkind.Field(errkind.InvalidSettings, "env", "environment variable "+s.Env+" is empty or not set")
	}
	return value, nil
}

func (s Secret) readFile() (string, error) {
	raw, err := os.ReadFile(s.File)
	if err != nil {
		return "", errkind.Wrap(err, errkind.InvalidSettings, errkind.NotRun, "read secret file")
	}
	value := strings.TrimSpace(string(raw))
	if value == "" {
		return "", errkind.Field(errkind.InvalidSettings, "file", "secret file "+s.File+" is empty")
	}
	return value, nil
}
