package platform

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// Object is one stored object.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	UID     string          `json:"uid,omitempty"`     // differs if the object is deleted and created again
	Version uint64          `json:"version,omitempty"` // store-wide; grows with every write, see VersionOf; zero: not stored yet
	Writer  string          `json:"writer,omitempty"`  // who wrote this version, for conflict messages and the audit trail
	Nonce   string          `json:"nonce,omitempty"`   // nonce of the write that made this version
	Spec    json.RawMessage `json:"spec,omitempty"`    // at most MaxValueBytes long
}

// MaxValueBytes is the platform's limit on the size of an object's spec, in bytes.
const MaxValueBytes = 1 << 20

// EventType is the kind of change that a watch event reports.
type EventType string

// The event types.
const (
	Put     EventType = "put"
	Deleted EventType = "deleted"
	// Bookmark holds only Object.Version and means that every event up to this version
	// has been delivered.
	Bookmark EventType = "bookmark"
)

// Event is one change. For Deleted, Object holds only the kind, the name, the UID and
// the version of the deletion.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Errors of the store. Test for them with errors.Is.
var (
	ErrNotFound       = errors.New("object not found")
	ErrConflict       = errors.New("version conflict")
	ErrUnavailable    = errors.New("platform unavailable")         // the call provably had no effect
	ErrOutcomeUnknown = errors.New("outcome of the write unknown") // the write may have taken effect; see Resolve
	ErrHistoryGone    = errors.New("watch history gone")           // the watch misses events; list again and watch from the list's version
	ErrTooLarge       = errors.New("value too large")
	ErrInvalid        = errors.New("object refused by the platform")
)

// Store is the platform's object API.
type Store interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind (an empty kind: of all kinds) and the store
	// version at which they were read.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Create writes a new object. It returns ErrConflict if the name is in use.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces the object if its stored version is o.Version (compare-and-swap).
	// It returns ErrConflict otherwise, and ErrNotFound if there is no object.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if its stored version is ifVersion (0: any). It returns
	// ErrConflict otherwise, and ErrNotFound if there is no object.
	Delete(ctx context.Context, kind, name string, ifVersion uint64, writer, nonce string) error
	// Watch delivers every event of the kinds (none: all kinds) after version from,
	// in version order, until ctx ends or Next returns an error.
	Watch(ctx context.Context, kinds []string, from uint64) (Watch, error)
}

// Watch is an open watch.
type Watch interface {
	// Next waits for the next event. It returns an error if the watch or ctx has ended.
	Next(ctx context.Context) (Event, error)
	// Close ends the watch.
	Close()
}
