// Package defaults sets the default values of fields of settings.
package defaults

// Set sets a field to value if the field has the zero value of its type.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
