package platform

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrDenied means that the platform refused the client's key. The call had no effect, so an
// error that matches ErrDenied matches ErrUnavailable as well.
var ErrDenied = errors.New("platform refused the key")

// ConflictError means that a write had no effect because the stored version is not the
// expected one. It matches ErrConflict.
type ConflictError struct {
	Kind    string
	Name    string
	Current Current // the stored version; zero version: the object does not exist, or the version is unknown
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Version == 0 {
		return fmt.Sprintf("version conflict: %s/%s does not exist at the expected version", e.Kind, e.Name)
	}
	return fmt.Sprintf("version conflict: %s/%s is at version %d, last written by %q",
		e.Kind, e.Name, e.Current.Version, e.Current.Writer)
}

// Is makes a ConflictError match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// UndeterminedError means that the outcome of a write is unknown and that a read cannot
// determine it: the stored version is another writer's, or the object does not exist. The
// write either never took effect, or took effect and was replaced or deleted since. The
// error matches ErrOutcomeUnknown.
type UndeterminedError struct {
	Kind    string
	Name    string
	Current Current // zero version: the object does not exist
}

// Error implements error.
func (e *UndeterminedError) Error() string {
	if e.Current.Version == 0 {
		return fmt.Sprintf("outcome of the write to %s/%s unknown: the object no longer exists", e.Kind, e.Name)
	}
	return fmt.Sprintf("outcome of the write to %s/%s unknown: version %d by %q hides it",
		e.Kind, e.Name, e.Current.Version, e.Current.Writer)
}

// Is makes an UndeterminedError match ErrOutcomeUnknown.
func (e *UndeterminedError) Is(target error) bool { return target == ErrOutcomeUnknown }

// OverwrittenError means that a write whose answer was lost took effect, and that the
// object was written again or deleted since.
type OverwrittenError struct {
	Kind    string
	Name    string
	Current Current // zero version: the object does not exist
}

// Error implements error.
func (e *OverwrittenError) Error() string {
	return fmt.Sprintf("the write to %s/%s took effect and was replaced by version %d of %q",
		e.Kind, e.Name, e.Current.Version, e.Current.Writer)
}

// deniedError is the error for a refused key, with the platform's message. It matches
// ErrDenied and ErrUnavailable.
type deniedError struct{ message string }

func (e *deniedError) Error() string { return ErrDenied.Error() + ": " + e.message }

func (e *deniedError) Is(target error) bool {
	return target == ErrDenied || target == ErrUnavailable
}
