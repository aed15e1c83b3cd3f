// Package examples holds a configuration and settings for each of the two
// deployments, Humo Claro and Halvorsen, with the sizes that they run today. Its
// tests load them and route over them.
package examples
