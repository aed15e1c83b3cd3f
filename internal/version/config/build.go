package config

import (
	"maps"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// objectKey identifies an object by kind and name.
type objectKey struct {
	kind string
	name string
}

func keyOf(o platform.Object) objectKey { return objectKey{o.Kind, o.Name} }

func (k objectKey) String() string { return k.kind + "/" + k.name }

// entry holds the newest version of an object and its last valid version, which is the
// one in force.
type entry struct {
	newest   platform.Object
	lastGood *platform.Object // nil: no version has been valid since the object was created
	reason   string           // why newest is not in force; empty: newest is in force
}

// update returns the entry after a newer version of the object arrived. If the UID of
// that version differs, the object was deleted and created again: the last valid version
// of the deleted object is not kept.
func (e entry) update(o platform.Object) entry {
	err := resource.Validate(o)
	if err == nil {
		return entry{newest: o, lastGood: &o}
	}
	updated := entry{newest: o, reason: err.Error()}
	if e.newest.UID == o.UID {
		updated.lastGood = e.lastGood
	}
	return updated
}

// Build returns the snapshot of the given objects. Its version is the highest version
// among them. An invalid object is rejected; it has no earlier version that could be in
// force.
func Build(objects ...platform.Object) *Snapshot {
	entries := make(map[objectKey]entry, len(objects))
	var version uint64
	for _, o := range objects {
		entries[keyOf(o)] = entry{}.update(o)
		version = max(version, o.Version)
	}
	return build(version, entries)
}

// build returns a new snapshot of the entries with the given version.
func build(version uint64, entries map[objectKey]entry) *Snapshot {
	s := emptySnapshot()
	s.Version = version
	for k, e := range entries {
		s.apply(k, e)
	}
	s.indexKeys()
	return s
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		Engines:   map[string]resource.Engine{},
		Runners:   map[string]resource.Runner{},
		Models:    map[string]resource.Model{},
		Adapters:  map[string]resource.Adapter{},
		Versions:  map[string]resource.Version{},
		Routes:    map[string]resource.Route{},
		Accounts:  map[string]resource.ClientAccount{},
		Services:  map[string]resource.Service{},
		Instances: map[string]resource.Instance{},
		Drains:    map[string]resource.Drain{},
		ByKeyHash: map[string]string{},
		Rejected:  map[string]Rejection{},
	}
}

// clone returns a copy of the snapshot with its own maps, which may be changed until the
// copy is published. The caller must call indexKeys if it changes Accounts.
func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Version:   s.Version,
		Engines:   maps.Clone(s.Engines),
		Runners:   maps.Clone(s.Runners),
		Models:    maps.Clone(s.Models),
		Adapters:  maps.Clone(s.Adapters),
		Versions:  maps.Clone(s.Versions),
		Routes:    maps.Clone(s.Routes),
		Accounts:  maps.Clone(s.Accounts),
		Services:  maps.Clone(s.Services),
		Instances: maps.Clone(s.Instances),
		Drains:    maps.Clone(s.Drains),
		ByKeyHash: s.ByKeyHash, // shared; indexKeys replaces the map and doesn't change it
		Rejected:  maps.Clone(s.Rejected),
	}
}

// apply brings an object of an unpublished snapshot up to date with its entry: it puts the
// last valid version into the map of its kind, and the reason into Rejected if the newest
// version is invalid.
func (s *Snapshot) apply(k objectKey, e entry) {
	s.remove(k)
	var inForce uint64
	if e.lastGood != nil && s.put(*e.lastGood) == nil {
		inForce = e.lastGood.Version
	}
	if e.reason != "" {
		s.Rejected[k.String()] = Rejection{Version: e.newest.Version, InForce: inForce, Message: e.reason}
	}
}

// put decodes a valid object into the map of its kind. It ignores kinds that are not
// part of the configuration.
func (s *Snapshot) put(o platform.Object) error {
	switch o.Kind {
	case resource.KindEngine:
		return putInto(s.Engines, o)
	case resource.KindRunner:
		return putInto(s.Runners, o)
	case resource.KindModel:
		return putInto(s.Models, o)
	case resource.KindAdapter:
		return putInto(s.Adapters, o)
	case resource.KindVersion:
		return putInto(s.Versions, o)
	case resource.KindRoute:
		return putInto(s.Routes, o)
	case resource.KindClientAccount:
		return putInto(s.Accounts, o)
	case resource.KindService:
		return putInto(s.Services, o)
	case resource.KindInstance:
		return putInto(s.Instances, o)
	case resource.KindDrain:
		return putInto(s.Drains, o)
	}
	return nil
}

// putInto decodes the spec of an object and stores it in m under the object's name.
func putInto[T any](m map[string]T, o platform.Object) error {
	v, err := resource.Decode[T](o)
	if err != nil {
		return err
	}
	m[o.Name] = v
	return nil
}

// remove removes an object from an unpublished snapshot.
func (s *Snapshot) remove(k objectKey) {
	delete(s.Rejected, k.String())
	switch k.kind {
	case resource.KindEngine:
		delete(s.Engines, k.name)
	case resource.KindRunner:
		delete(s.Runners, k.name)
	case resource.KindModel:
		delete(s.Models, k.name)
	case resource.KindAdapter:
		delete(s.Adapters, k.name)
	case resource.KindVersion:
		delete(s.Versions, k.name)
	case resource.KindRoute:
		delete(s.Routes, k.name)
	case resource.KindClientAccount:
		delete(s.Accounts, k.name)
	case resource.KindService:
		delete(s.Services, k.name)
	case resource.KindInstance:
		delete(s.Instances, k.name)
	case resource.KindDrain:
		delete(s.Drains, k.name)
	}
}

// indexKeys builds ByKeyHash from the accounts. If several accounts list the same
// hash, it is assigned to the account whose name sorts first, so that all daemons agree.
func (s *Snapshot) indexKeys() {
	s.ByKeyHash = make(map[string]string, len(s.Accounts))
	for name, account := range s.Accounts {
		for _, hash := range account.KeyHashes {
			if other, taken := s.ByKeyHash[hash]; !taken || name < other {
				s.ByKeyHash[hash] = name
			}
		}
	}
}
