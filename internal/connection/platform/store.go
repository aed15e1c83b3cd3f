package platform

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// Object is one stored object. Version is store-wide and only grows, see VersionOf; UID differs
// between two objects that had the same name one after the other.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	UID     string          `json:"uid,omitempty"`
	Version uint64          `json:"version,omitempty"`
	Writer  string          `json:"writer,omitempty"` // who wrote this version, for conflict messages and the audit trail
	Nonce   string          `json:"nonce,omitempty"`  // the writer's nonce of this version
	Spec    json.RawMessage `json:"spec,omitempty"`   // at most MaxValueBytes
}

// MaxValueBytes is the platform's bound on one value.
const MaxValueBytes = 1 << 20

// EventType says what a watch event did to the object.
type EventType string

// The event types.
const (
	Put     EventType = "put"
	Deleted EventType = "deleted"
	// Bookmark carries only Object.Version: everything up to it has been delivered.
	Bookmark EventType = "bookmark"
)

// Event is one change. For Deleted, Object holds kind, name, UID and the version
// of the deletion.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Errors of the store. Test them with errors.Is.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("version conflict")
	ErrUnavailable = errors.New("platform unavailable")         // the call certainly had no effect
	ErrUnknown     = errors.New("outcome of the write unknown") // the write may have taken effect; resolve by nonce
	ErrHistoryGone = errors.New("watch history gone")           // list again, then watch from the list's version
	ErrTooLarge    = errors.New("value too large")
	ErrInvalid     = errors.New("object refused by the platform")
)

// Store is the platform's object API.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads all objects of a kind (an empty kind: of all kinds) and the store version of that read.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Create writes a new object; ErrConflict if the name is taken.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces the object if its stored version equals o.Version; else ErrConflict.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if its stored version equals ifVersion (0: any).
	Delete(ctx context.Context, kind, name string, ifVersion uint64, writer, nonce string) error
	// Watch delivers every event after version from for the kinds (none: all kinds),
	// in version order, until ctx ends or an error is returned by Next.
	Watch(ctx context.Context, kinds []string, from uint64) (Watch, error)
}

// Watch is a running watch.
type Watch interface {
	// Next blocks for the next event.
	Next(ctx context.Context) (Event, error)
	// Close ends the watch.
	Close()
}
