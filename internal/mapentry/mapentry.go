// Package mapentry creates missing map entries on demand.
package mapentry

// GetOrCreate returns the entry of a map for a key. If the entry is missing, GetOrCreate
// adds the result of create to the map and returns that.
func GetOrCreate[K comparable, V any](m map[K]*V, key K, create func() *V) *V {
	v, ok := m[key]
	if !ok {
		v = create()
		m[key] = v
	}
	return v
}

// Zero returns a pointer to a new zero value. It serves as the create parameter of
// GetOrCreate for types whose zero value is ready to use.
func Zero[V any]() *V { return new(V) }
