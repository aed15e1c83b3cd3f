// Package defaults fills settings that were left out.
package defaults

// Set gives a field its default value if it has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
