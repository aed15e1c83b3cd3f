// Package examples holds the configuration (resources.json) and the settings files of two
// deployments, Humo Claro and Halvorsen, in their current sizes. Its tests load them and
// route requests with them.
package examples
