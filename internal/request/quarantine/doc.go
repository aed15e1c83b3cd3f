// Package quarantine recognises requests that ask the same work.
package quarantine
