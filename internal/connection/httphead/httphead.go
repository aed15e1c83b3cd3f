// Package httphead checks the heads of HTTP responses. net/http reads some heads that are malformed by RFC 9110 without
// an error. What such a response says can't be relied on: not its status, not its fields, and not where its body ends.
package httphead

import (
	"net/http"

	"github.com/pkg/errors"
)

// The statuses of final responses (RFC 9110, section 15).
const (
	minStatus = 200
	maxStatus = 599
)

// Check returns an error, which names what is malformed, if a final response has a malformed head. The response must not
// be used then, nor its connection. A switch to another protocol is no final response.
func Check(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Errorf("malformed response: status %q, want %d to %d", resp.Status, minStatus, maxStatus)
	}
	return nil
}
