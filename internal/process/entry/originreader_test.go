package entry

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/origins"
)

// recordWith returns a record of a service that had the given versions.
func recordWith(versions ...string) origins.Record {
	left := make(origins.Left)
	for _, v := range versions {
		left[v] = 0
	}
	return origins.Record{Versions: map[string]origins.Left{"llm": left}, Routes: map[string]origins.Left{"host/": {"llm": 0}}}
}

// TestReadOfRecordBeginsAfterItsRequest guards against a conclusion from a record that was read before the caller's stream
// began: requests that come during a read share the next one.
func TestReadOfRecordBeginsAfterItsRequest(t *testing.T) {
	began, records := make(chan struct{}), make(chan origins.Record)
	r := newOriginReader(nil)
	r.reads.read = func(context.Context) (recordAtEra, error) {
		began <- struct{}{}
		return recordAtEra{Record: <-records}, nil
	}
	first := r.reads.join()
	<-began
	second, third := r.reads.join(), r.reads.join()
	if second == first || second != third {
		t.Fatal("requests that come during a read don't share the next one")
	}
	records <- recordWith("v1")
	<-began
	records <- recordWith("v1", "v2")
	<-second.done
	if len(first.value.Versions["llm"]) != 1 || len(second.value.Versions["llm"]) != 2 {
		t.Errorf("%+v, %+v", first.value, second.value)
	}
}

// TestSoleOriginByRecord checks what a record says, and that a platform that doesn't answer is told apart from one that
// has no record.
func TestSoleOriginByRecord(t *testing.T) {
	silent := errors.Wrap(platform.ErrUnavailable, "no answer")
	for _, c := range []struct {
		name   string
		record origins.Record
		err    error
		want   string
		fails  bool
	}{
		{"one version", recordWith("v1"), nil, "v1", false},
		{"two versions", recordWith("v1", "v2"), nil, "", false},
		{"no version", recordWith(), nil, "", false},
		{"an earlier era", origins.Record{Era: 3, Versions: recordWith("v1").Versions, Routes: recordWith().Routes}, nil, "", false},
		{"no route", origins.Record{Versions: recordWith("v1").Versions}, nil, "", false},
		{"no record", origins.Record{}, errors.Wrap(platform.ErrNotFound, "llm"), "", false},
		{"unreadable", origins.Record{}, errors.Wrap(platform.ErrInvalid, "llm"), "", false},
		{"no answer", origins.Record{}, silent, "", true},
	} {
		r := newOriginReader(nil)
		r.reads.read = func(context.Context) (recordAtEra, error) { return recordAtEra{Record: c.record}, c.err }
		if got, ok, err := r.sole(t.Context(), "host", "/x"); got.Software != c.want || ok != (c.want != "") || (err != nil) != c.fails {
			t.Errorf("%s: %q, %v", c.name, got, err)
		}
	}
}

// TestAmbiguousRecordIsNotReadForEachRequest guards against calls on the platform that grow with the resumptions after a
// loss of all instances, of which each is refused.
func TestAmbiguousRecordIsNotReadForEachRequest(t *testing.T) {
	for _, c := range []struct {
		record origins.Record
		reads  int
	}{
		{recordWith("v1", "v2"), 1},
		{recordWith("v1"), 10}, // what begins meanwhile counts
	} {
		reads := 0
		r := newOriginReader(nil)
		r.reads.read = func(context.Context) (recordAtEra, error) {
			reads++
			return recordAtEra{Record: c.record}, nil
		}
		for range 10 {
			if _, _, err := r.sole(t.Context(), "host", "/x"); err != nil {
				t.Fatal(err)
			}
		}
		if reads != c.reads {
			t.Errorf("%d reads of %v, want %d", reads, c.record.Versions, c.reads)
		}
	}
}
