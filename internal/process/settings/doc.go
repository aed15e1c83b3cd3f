// Package settings reads a daemon's settings: JSON with comments, checked whole,
// every error at once with field, value and what is allowed. Unknown fields are
// refused. Flags override fields.
package settings
