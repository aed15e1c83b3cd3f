// Package httphead checks the heads of HTTP responses. net/http reads some heads that are malformed by RFC 9110 without
// an error. What such a response says can't be relied on: not its status, not its fields, and not where its body ends.
package httphead

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
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
	return CheckFields(resp.Header)
}

// CheckFields returns an error if a header or trailer section has a field whose name is malformed, such as one with a
// blank: net/http doesn't know such a field as the one that it seems to be, for example as the length of the body.
func CheckFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("malformed response: field name %q", name)
		}
	}
	return nil
}
