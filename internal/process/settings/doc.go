// Package settings reads and validates the settings files of the gateway, the controller
// and the entry process, which are JSON with comments. Unknown fields are errors.
// Validation reports all invalid fields at once, each with its value and the allowed
// values. Command line flags override some fields for gateways and controllers.
package settings
