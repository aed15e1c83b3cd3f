package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	// maxAppendAttempts is the number of failed writes after which Append returns an error.
	// When several writers update a segment at the same time, one of them succeeds and the
	// others try again. This number therefore also limits how many may write at the same time.
	maxAppendAttempts = 32
	// appendRetryPause is the pause after a failed write.
	appendRetryPause = 20 * time.Millisecond
)

// Append adds entries to the shared segments (the objects to which all writers append) of the
// hour that contains the current time, now. It returns nil once all entries are stored. After an
// error, some of them may be stored. If the outcome of a write is not known, Append repeats the
// write. Read drops the duplicates that this may cause.
func Append(ctx context.Context, s platform.Store, writer string, now time.Time, entries []Entry) error {
	trail := writer + "-" + platform.NewNonce()
	remaining := make([]record, 0, len(entries))
	for i, e := range entries {
		remaining = append(remaining, record{Trail: trail, Number: uint64(i), Entry: e.withDefaults(writer, now)})
	}
	part := 0
	for attempt := 0; len(remaining) > 0; {
		stored, full, err := appendToSegment(ctx, s, sharedSegmentName(now, part), writer, remaining)
		if err != nil {
			attempt++
			if attempt == maxAppendAttempts || !isRetryable(err) {
				return errors.Wrap(err, "writing the audit trail")
			}
			if err := platform.Sleep(ctx, appendRetryPause); err != nil {
				return errors.Wrap(err, "writing the audit trail")
			}
			continue
		}
		remaining = remaining[stored:]
		if full {
			part++
		}
	}
	return nil
}

// isRetryable reports whether it can help to read the segment and write it again. This is
// so if another writer was first, or if the outcome of the write is not known.
func isRetryable(err error) bool {
	var overwritten *platform.OverwrittenError
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) || errors.As(err, &overwritten)
}

// sharedSegmentName returns the name of a shared segment of the hour (UTC) that contains the
// time now. part is the number of the segment within that hour, beginning with 0.
func sharedSegmentName(now time.Time, part int) string {
	return fmt.Sprintf("shared-%s-%03d", now.UTC().Format("20060102-15"), part)
}

// appendToSegment adds as many records as fit to a segment and stores it. It returns how
// many were stored and whether the caller must use the next part for the others, because the
// segment has no space for them or can't be decoded.
func appendToSegment(ctx context.Context, s platform.Store, name, writer string, records []record) (stored int, full bool, err error) {
	o, err := s.Get(ctx, resource.KindAudit, name)
	if errors.Is(err, platform.ErrNotFound) {
		o, err = platform.Object{Kind: resource.KindAudit, Name: name}, nil
	}
	if err != nil {
		return 0, false, err
	}
	var content segment
	if len(o.Spec) > 0 {
		if err := json.Unmarshal(o.Spec, &content); err != nil {
			return 0, true, nil // leave the unreadable segment and use the next part
		}
	}
	fit, err := addFitting(&content, len(o.Spec), records)
	if err != nil || fit == 0 {
		return 0, true, err
	}
	if o.Spec, err = json.Marshal(content); err != nil {
		return 0, false, err
	}
	o.Writer, o.Nonce = writer, platform.NewNonce()
	if _, err := platform.Write(ctx, s, o); err != nil {
		return 0, false, err
	}
	return fit, fit < len(records), nil
}

// addFitting adds records to a segment until its encoded size would exceed
// DefaultSegmentBytes, and returns how many it added. size is the encoded size before. An
// empty segment takes at least one record.
func addFitting(content *segment, size int, records []record) (int, error) {
	for n, r := range records {
		raw, err := json.Marshal(r)
		if err != nil {
			return 0, errors.Wrap(err, "encoding an audit entry")
		}
		size += len(raw) + 1
		if size > DefaultSegmentBytes && len(content.Records) > 0 {
			return n, nil
		}
		content.Records = append(content.Records, r)
	}
	return len(records), nil
}
