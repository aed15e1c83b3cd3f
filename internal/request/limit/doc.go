// Package limit keeps the rate and the tokens in flight of each client account within its limits, with use shared between gateways. Pure.
package limit
