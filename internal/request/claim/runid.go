package claim

import "github.com/google/uuid"

// NewRunID makes a run id for a session. It is random, so that no two sessions
// of any gateway, past or present, have the same.
func NewRunID() string { return uuid.NewString() }
