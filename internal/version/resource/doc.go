// Package resource defines the kinds of object that operators write (desired
// state), the system's own kinds, and their validation.
//
// Every spec is plain JSON inside platform.Object.Spec. Status lives in separate
// objects of kind Status, named "<kind>/<name>", so that a status write never
// conflicts with an operator's edit.
package resource
