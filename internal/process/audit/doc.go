// Package audit keeps the audit trail of changes in bounded segments of the platform.
package audit
