package controller

import (
	"context"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// writeResult is the outcome of a conditional write.
type writeResult int

const (
	writeSucceeded   writeResult = iota
	writeConflicted              // the object has another version than expected, or none
	writeUnavailable             // the write failed and had no effect
	writeUnknown                 // the write may have taken effect, or may still do so
)

// writeObject makes one conditional write: a create if base is 0, otherwise an update of
// version base. It returns the new version if the write succeeded. It does not retry
// after a lost response; the cores do that, since their rules depend on the time of the
// first attempt.
func (c *Controller) writeObject(ctx context.Context, kind, name string, base uint64, nonce string, spec any) (uint64, writeResult) {
	o, err := resource.Encode(kind, name, spec)
	if err != nil {
		return 0, writeUnavailable
	}
	o.Version, o.Nonce, o.Writer = base, nonce, c.self.Name
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.meters.storeCalls.Inc(1)
	storeFunc := c.store.Update
	if base == 0 {
		storeFunc = c.store.Create
	}
	stored, err := storeFunc(ctx, o)
	if err == nil {
		return stored.Version, writeSucceeded
	}
	c.meters.storeErrors.Inc(1)
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		return 0, writeConflicted
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrInvalid), errors.Is(err, platform.ErrTooLarge):
		return 0, writeUnavailable
	}
	return 0, writeUnknown
}

// readResult is the outcome of reading one object.
type readResult[T any] struct {
	ok           bool // the read succeeded, whether or not the object exists
	found        bool
	object       platform.Object
	spec         T
	storeVersion uint64 // version of the store; set only if ok and not found
}

// readObject reads an object. If the object does not exist, it lists the kind in order
// to return the version of the store.
func readObject[T any](ctx context.Context, c *Controller, kind, name string) readResult[T] {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.meters.storeCalls.Inc(1)
	o, err := c.store.Get(ctx, kind, name)
	if err == nil {
		spec, err := resource.Decode[T](o)
		return readResult[T]{ok: err == nil, found: true, object: o, spec: spec}
	}
	if !errors.Is(err, platform.ErrNotFound) {
		c.meters.storeErrors.Inc(1)
		return readResult[T]{}
	}
	c.meters.storeCalls.Inc(1)
	objects, version, err := c.store.List(ctx, kind)
	if err != nil {
		c.meters.storeErrors.Inc(1)
		return readResult[T]{}
	}
	for _, o := range objects {
		if o.Name == name { // created after the Get
			spec, err := resource.Decode[T](o)
			return readResult[T]{ok: err == nil, found: true, object: o, spec: spec}
		}
	}
	return readResult[T]{ok: true, storeVersion: version}
}

// storedObject is an object with its decoded spec.
type storedObject[T any] struct {
	object platform.Object
	spec   T
}

// listObjects returns all objects of a kind by name, without those that cannot be
// decoded. It returns false if the list cannot be read.
func listObjects[T any](ctx context.Context, c *Controller, kind string) (map[string]storedObject[T], bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.meters.storeCalls.Inc(1)
	objects, _, err := c.store.List(ctx, kind)
	if err != nil {
		c.meters.storeErrors.Inc(1)
		return nil, false
	}
	out := make(map[string]storedObject[T], len(objects))
	for _, o := range objects {
		if spec, err := resource.Decode[T](o); err == nil {
			out[o.Name] = storedObject[T]{o, spec}
		}
	}
	return out, true
}
