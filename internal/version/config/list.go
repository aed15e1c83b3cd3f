package config

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// maxListPasses bounds the passes of one list. With a few thousand changes a day, two
// passes nearly always agree.
const maxListPasses = 6

// errListUnstable means that the configuration changed during every pass.
var errListUnstable = errors.New("configuration changed during each pass of the list")

// listPass is one read of all watched kinds, one kind after another.
type listPass struct {
	objects []platform.Object
	version uint64 // the highest store version among the reads
}

// list reads the objects of all watched kinds as they were at one store version. The
// platform lists one kind at a time, so the objects may change during a pass. list repeats
// the pass until two consecutive passes return the same objects: then no object changed
// between them, and the first pass is the state at its version. It returns
// errListUnstable if no two consecutive passes agree.
func list(ctx context.Context, store platform.Store) (Listed, error) {
	previous, err := readPass(ctx, store)
	if err != nil {
		return Listed{}, err
	}
	for range maxListPasses - 1 {
		next, err := readPass(ctx, store)
		if err != nil {
			return Listed{}, err
		}
		if slices.EqualFunc(previous.objects, next.objects, sameWrite) {
			return Listed{Objects: previous.objects, Version: previous.version}, nil
		}
		previous = next
	}
	return Listed{}, errListUnstable
}

// readPass lists each watched kind once. The objects are sorted by version within a kind,
// so that two passes can be compared.
func readPass(ctx context.Context, store platform.Store) (listPass, error) {
	var p listPass
	for _, kind := range resource.WatchedKinds {
		objects, version, err := store.List(ctx, kind)
		if err != nil {
			return listPass{}, errors.Wrapf(err, "list %s", kind)
		}
		slices.SortFunc(objects, compareObjects)
		p.objects = append(p.objects, objects...)
		p.version = max(p.version, version)
	}
	return p, nil
}

// compareObjects orders objects by version, kind and name.
func compareObjects(a, b platform.Object) int {
	return compareEvents(platform.Event{Object: a}, platform.Event{Object: b})
}
