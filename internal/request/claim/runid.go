package claim

import "github.com/google/uuid"

// NewRunID returns a random run id. Random ids are unique across all gateways and across
// restarts of a gateway, without coordination.
func NewRunID() string { return uuid.NewString() }
