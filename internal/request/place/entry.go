package place

// entryOf gives an entry of a map, which is made when it is missing.
func entryOf[K comparable, V any](m map[K]*V, key K, create func() *V) *V {
	v, ok := m[key]
	if !ok {
		v = create()
		m[key] = v
	}
	return v
}

// newZero makes a value whose zero form is ready to use.
func newZero[V any]() *V { return new(V) }
