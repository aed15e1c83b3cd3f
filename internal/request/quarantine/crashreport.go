package quarantine

import (
	"time"

	"github.com/pkg/errors"
)

// MaxCrashReports is the maximum number of crashes in one datagram; each takes about 35 bytes.
const MaxCrashReports = 24

// CrashReport is a Crash as encoded in messages between instances. It has ages instead of times because
// the clocks of instances differ.
type CrashReport struct {
	_        struct{} `cbor:",toarray"`
	Content  []byte
	Upstream uint32
	SentUS   int64 // age of Crash.Sent in microseconds
	AtUS     int64 // age of Crash.At in microseconds, at most SentUS
	Void     bool
}

// EncodeCrashes converts crashes to reports for other instances.
func EncodeCrashes(now time.Time, crashes []Crash) []CrashReport {
	out := make([]CrashReport, len(crashes))
	for i := range crashes {
		c := &crashes[i]
		at := max(now.Sub(c.At).Microseconds(), 0)
		sent := max(now.Sub(c.Sent).Microseconds(), at) // Sent may be after At in a merged crash
		out[i] = CrashReport{Content: c.Content[:], Upstream: uint32(c.Upstream), Void: c.Void, SentUS: sent, AtUS: at}
	}
	return out
}

// DecodeCrashes converts the reports of another instance to crashes. It returns an error if any report is
// invalid.
func DecodeCrashes(now time.Time, reports []CrashReport) ([]Crash, error) {
	out := make([]Crash, len(reports))
	for i := range reports {
		r := &reports[i]
		if err := r.validate(); err != nil {
			return nil, err
		}
		out[i] = Crash{
			Content: Content(r.Content), Upstream: IncarnationHash(r.Upstream), Void: r.Void,
			Sent: now.Add(-micros(r.SentUS)), At: now.Add(-micros(r.AtUS)),
		}
	}
	return out, nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// validate returns an error if the content has a wrong length or the ages contradict each other.
func (r *CrashReport) validate() error {
	switch {
	case len(r.Content) != contentBytes:
		return errors.Errorf("crash report with a content of %d bytes", len(r.Content))
	case r.AtUS < 0 || r.SentUS < r.AtUS:
		return errors.Errorf("crash report with a crash %d us ago of work sent %d us ago", r.AtUS, r.SentUS)
	}
	return nil
}
