package origins

import (
	"testing"
)

// TestRecordCreatedLateSaysNothing guards against streams of two versions: a record that lacks what was before it was
// created names one version. All instances were lost, and the store was restored from a copy without a record, or the
// record was deleted, or the instances that served before were of a program that keeps none.
func TestRecordCreatedLateSaysNothing(t *testing.T) {
	now := start
	s, c := &store{era: 7}, New()
	listed(c, now, "v1")
	s.load(c, now)
	s.writeAll(t, c, now)
	s.era, s.object, s.record = 8, Object{}, nil // a copy without a record
	late := New()
	listed(late, now, "v2") // the release took place meanwhile
	s.load(late, now)
	for range 2 {
		s.writeAll(t, late, now)
		now = now.Add(restoreDelay)
	}
	if version := s.sole(now); version != "" {
		t.Errorf("streams that began at v1 go on at %s", version)
	}
}

// TestRecordConfirmedByInstanceThatKnewLessSaysNothing guards against streams of two versions: after a restore from an
// older copy, an instance that had read the record before its latest entry was written confirms the copy as complete.
func TestRecordConfirmedByInstanceThatKnewLessSaysNothing(t *testing.T) {
	now := start
	s, a, b := &store{era: 7}, New(), New()
	for _, c := range []*Core{a, b} {
		listed(c, now, "v1")
		s.load(c, now)
		s.writeAll(t, c, now)
	}
	old, object := *s.record, s.object
	listed(a, now, "v1", "v2") // b doesn't have it yet
	s.writeAll(t, a, now)
	s.era, s.record, s.object = 8, &old, Object{Version: object.Version + 100}
	for _, c := range []*Core{b, a} { // both read the list again, without the second version, which has ended
		listed(c, now, "v1")
		c.Restored()
		s.load(c, now)
		s.writeAll(t, c, now)
	}
	if version := s.sole(now); version != "" {
		t.Errorf("streams that began at v2 go on at %s", version)
	}
}
