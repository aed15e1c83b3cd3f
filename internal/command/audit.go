package command

import (
	"fmt"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
)

// auditCommand implements "audit": it shows the audit trail or deletes old segments.
type auditCommand struct {
	Since  string `long:"since" value-name:"TIME" description:"a duration back from now, as 90m, or a time, as 2026-01-02T15:04:05Z"`
	Object string `long:"object" value-name:"KIND/NAME" description:"only changes of this object"`
	Output string `short:"o" long:"output" choice:"table" choice:"json" choice:"yaml" default:"table" description:"form of the output"`
	Prune  string `long:"prune-before" value-name:"TIME" description:"delete segments that are wholly older, instead of showing"`

	session *session
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute(args []string) error {
	s := c.session
	if err := rejectArgs(args); err != nil {
		return err
	}
	since, err := parseTime("--since", c.Since, time.Now())
	if err != nil {
		return err
	}
	before, err := parseTime("--prune-before", c.Prune, time.Now())
	if err != nil {
		return err
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	if !before.IsZero() {
		deleted, err := audit.Prune(s.ctx, store, before, s.writer())
		fmt.Fprintf(s.Out, "%d segments deleted\n", deleted)
		return wrapPlatformError(err, "pruning the audit trail")
	}
	log, err := audit.Read(s.ctx, store, audit.Filter{Since: since, Object: c.Object})
	if err != nil {
		return wrapPlatformError(err, "audit")
	}
	for _, name := range log.Unreadable {
		s.warn("Audit/%s holds no audit entries", name)
	}
	if c.Output != formatTable {
		return writeFormatted(s.Out, c.Output, append([]audit.Entry{}, log.Entries...))
	}
	s.printAudit(log.Entries)
	return nil
}

func (s *session) printAudit(entries []audit.Entry) {
	t := newTable(s.Out, "AT", "WHO", "WHAT", "OBJECT", "FROM", "TO", "EPOCH", "OUTCOME", "WHY")
	for _, e := range entries {
		epoch := ""
		if e.Epoch > 0 {
			epoch = fmt.Sprint(e.Epoch)
		}
		t.row(e.At.Format(time.RFC3339), e.Who, string(e.Kind), e.Object, e.From, e.To, epoch, e.Outcome, e.Why)
	}
	t.flush()
}

// parseTime parses text as a duration before now or as an RFC 3339 time. It
// returns the zero time for empty text.
func parseTime(flag, text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if back, err := time.ParseDuration(text); err == nil && back >= 0 {
		return now.Add(-back), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usagef("%s is %q: want a duration as 90m or a time as 2026-01-02T15:04:05Z", flag, text)
	}
	return at, nil
}
