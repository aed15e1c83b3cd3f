// Package resource defines the schema of the objects in the platform's store: the kinds
// that operators write (the desired state) with their validation, and the kinds that the
// system itself writes.
//
// Every spec is stored as JSON in platform.Object.Spec. The status of an object is a separate
// object of kind Status, named "<kind>/<name>", so that writing a status never
// conflicts with an operator's edit.
package resource
