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
	// appendAttempts bounds the writes of one Append. In each round of racing
	// writers one succeeds, so this is how many may race.
	appendAttempts = 32
	appendPause    = 20 * time.Millisecond
)

// Append adds entries to the shared segments of the hour. It returns when they
// are stored; an error means that some may not be. A write of doubtful fate is
// made again; Read drops what it sees twice.
func Append(ctx context.Context, s platform.Store, writer string, now time.Time, entries []Entry) error {
	trail := writer + "-" + platform.NewNonce()
	rest := make([]record, 0, len(entries))
	for i, e := range entries {
		rest = append(rest, record{Trail: trail, Number: uint64(i), Entry: e.completed(writer, now)})
	}
	part := 0
	for attempt := 0; len(rest) > 0; {
		stored, full, err := appendTo(ctx, s, sharedName(now, part), writer, rest)
		if err != nil {
			attempt++
			if attempt == appendAttempts || !worthAnother(err) {
				return errors.Wrap(err, "writing the audit trail")
			}
			if err := platform.Sleep(ctx, appendPause); err != nil {
				return errors.Wrap(err, "writing the audit trail")
			}
			continue
		}
		rest = rest[stored:]
		if full {
			part++
		}
	}
	return nil
}

// worthAnother reports whether reading and writing anew can help: another writer
// came first, or the fate of the write is not known.
func worthAnother(err error) bool {
	var overwritten *platform.OverwrittenError
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown) || errors.As(err, &overwritten)
}

func sharedName(now time.Time, part int) string {
	return fmt.Sprintf("shared-%s-%03d", now.UTC().Format("20060102-15"), part)
}

// appendTo adds as many records as fit to one segment. It gives how many of them
// are stored there and whether the segment has no place for the next one.
func appendTo(ctx context.Context, s platform.Store, name, writer string, records []record) (stored int, full bool, err error) {
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
			return 0, true, nil // not ours to mend; the next part serves
		}
	}
	fit, err := grow(&content, len(o.Spec), records)
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

// grow adds as many records as fit and gives their number. An empty segment takes
// at least one.
func grow(content *segment, size int, records []record) (int, error) {
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
