package command

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// Environment variables that hold keys. Keys are not passed as flags, because other
// users of the machine can read a command line.
const (
	platformKeyEnv  = "RAGWORT_PLATFORM_KEY"
	operatorsKeyEnv = "RAGWORT_OPERATORS_KEY"
)

// options holds the flags that every command has.
type options struct {
	Platform         string        `long:"platform" env:"RAGWORT_PLATFORM" value-name:"URL" description:"the platform's object API"`
	PlatformKeyFile  string        `long:"platform-key-file" env:"RAGWORT_PLATFORM_KEY_FILE" value-name:"FILE" description:"key for the platform; or set RAGWORT_PLATFORM_KEY"`
	Operators        []string      `long:"operators" env:"RAGWORT_OPERATORS" env-delim:"," value-name:"URL" description:"operators' port of a daemon; may repeat"`
	OperatorsKeyFile string        `long:"operators-key-file" env:"RAGWORT_OPERATORS_KEY_FILE" value-name:"FILE" description:"key for operators' ports; or set RAGWORT_OPERATORS_KEY"`
	CAFile           string        `long:"ca-file" env:"RAGWORT_CA_FILE" value-name:"FILE" description:"authority to trust for TLS; default: the system's"`
	Writer           string        `long:"writer" env:"RAGWORT_WRITER" value-name:"NAME" description:"who writes, for conflicts and the audit trail; default: the user's name"`
	Timeout          time.Duration `long:"timeout" default:"10s" description:"of each call"`
}

// session holds the state of one run of the program.
type session struct {
	Streams
	options options
	ctx     context.Context
	client  *platform.Client // nil until store is called
}

// store returns a client of the platform's object API, which the first call creates.
func (s *session) store() (platform.Store, error) {
	if s.client != nil {
		return s.client, nil
	}
	if s.options.Platform == "" {
		return nil, usagef("the platform's address is missing: give --platform URL or set RAGWORT_PLATFORM")
	}
	key, err := readKey(s.options.PlatformKeyFile, platformKeyEnv)
	if err != nil {
		return nil, err
	}
	s.client, err = platform.NewClient(platform.ClientConfig{
		Address: s.options.Platform,
		Key:     key,
		CAFile:  s.options.CAFile,
		Timeout: s.options.Timeout,
	})
	if err != nil {
		return nil, usagef("%v", err)
	}
	return s.client, nil
}

// readKey returns the key in a file, without surrounding white space. If file is empty, it
// returns the value of the environment variable env, which may be empty.
func readKey(file, env string) (string, error) {
	if file == "" {
		return os.Getenv(env), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", usagef("reading the key: %v", err)
	}
	key := strings.TrimSpace(string(raw))
	if key == "" {
		return "", usagef("the key file %q is empty", file)
	}
	return key, nil
}

// writer returns the name under which changes are made: that of --writer, else that of
// the user, else "operator".
func (s *session) writer() string {
	if s.options.Writer != "" {
		return s.options.Writer
	}
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "operator"
}

// warn prints a problem that does not end the command.
func (s *session) warn(format string, args ...any) {
	fmt.Fprintln(s.Err, "warning: "+fmt.Sprintf(format, args...))
}

// wrapPlatformError wraps an error of the platform as an errkind.Error with the message
// about, which names the object. It returns nil if err is nil.
func wrapPlatformError(err error, about string) error {
	if err == nil {
		return nil
	}
	var overwritten *platform.OverwrittenError
	kind, run := errkind.Internal, errkind.NotRun
	switch {
	case errors.As(err, &overwritten), errors.Is(err, platform.ErrConflict):
		kind = errkind.Conflict
	case errors.Is(err, platform.ErrNotFound):
		kind = errkind.NotFound
	case errors.Is(err, platform.ErrDenied):
		kind = errkind.PermissionDenied
	case errors.Is(err, platform.ErrOutcomeUnknown):
		kind, run = errkind.OutcomeUnknown, errkind.RunUnknown
	case errors.Is(err, platform.ErrTooLarge), errors.Is(err, platform.ErrInvalid):
		kind = errkind.InvalidObject
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrHistoryGone), errors.Is(err, context.DeadlineExceeded):
		kind = errkind.PlatformUnavailable
	}
	return errkind.Wrap(err, kind, run, about)
}
