package quarantine

import (
	"slices"
	"testing"
	"time"
)

// storedBy returns the hold of the work as the core would store it now, as the given version of its record. Crashes
// lose what only the process that detected them knows.
func storedBy(t *testing.T, c *Core, now time.Duration, version uint64) Hold {
	t.Helper()
	hold, ok := c.UnstoredHold(at(now), work)
	if !ok {
		t.Fatal("there is no hold to store")
	}
	hold.Version = version
	hold.Crashes = slices.Clone(hold.Crashes)
	for i := range hold.Crashes {
		hold.Crashes[i].local = false
	}
	return hold
}

// newHeld returns a core that holds the work since 195 ms after start because of two crashes, and these crashes.
func newHeld() (c *Core, crashes []Crash) {
	c = New()
	crashes = append(crash(c, work, "a", 0, 90*ms), crash(c, work, "b", 100*ms, 190*ms)...)
	return c, crashes
}

// checkRecord checks whether the record of the work has to be removed, and at which version.
func checkRecord(t *testing.T, c *Core, now time.Duration, version uint64, remove bool) {
	t.Helper()
	if v, ok := c.RecordToRemove(at(now), work); v != version && ok || ok != remove {
		t.Errorf("version %d is to be removed: %t; want version %d: %t", v, ok, version, remove)
	}
}

// TestSuccessBeforeHoldIsSent checks that a hold isn't stored after its work was answered completely, and that a record
// that another instance may have stored is looked for.
func TestSuccessBeforeHoldIsSent(t *testing.T) {
	c, _ := newHeld()
	c.Succeeded(at(200*ms), work)
	if _, ok := c.UnstoredHold(at(210*ms), work); ok {
		t.Error("the hold is to be stored")
	}
	if got := c.TakeUnwantedRecords(); len(got) != 1 || got[0] != work {
		t.Errorf("unwanted records: %v", got)
	}
	checkRecord(t, c, 210*ms, 0, true)
	c.RecordRemoved(at(210*ms), work, 0)
	checkRecord(t, c, 220*ms, 0, false)
}

// TestHoldStoredAfterSuccess guards against work that is held again by the answer to a write that was sent before the
// work was answered completely.
func TestHoldStoredAfterSuccess(t *testing.T) {
	c, _ := newHeld()
	hold := storedBy(t, c, 200*ms, 5)
	c.Succeeded(at(210*ms), work)
	readAt := at(215 * ms)
	if c.HoldStored(at(220*ms), work, hold) || held(c, work, 220*ms) {
		t.Error("held again")
	}
	checkRecord(t, c, 220*ms, 5, true)
	c.RecordRemoved(readAt, work, 0) // a read from before the write took effect found no record
	checkRecord(t, c, 230*ms, 5, true)
	c.RecordRemoved(at(230*ms), work, 5)
	checkRecord(t, c, 240*ms, 0, false)
	if c.HoldStored(at(250*ms), work, hold); held(c, work, 250*ms) {
		t.Error("held again by an old list")
	}
	checkRecord(t, c, 260*ms, 0, false)
}

// TestHoldStoredBeforeSuccess checks that a stored hold has to be removed at its version.
func TestHoldStoredBeforeSuccess(t *testing.T) {
	c, _ := newHeld()
	c.HoldStored(at(200*ms), work, storedBy(t, c, 200*ms, 5))
	c.Succeeded(at(210*ms), work)
	checkRecord(t, c, 220*ms, 5, true)
	c.RecordChanged(work)
	checkRecord(t, c, 220*ms, 0, true)
}

// TestUnknownWriteAroundSuccess guards against a record that a write with a lost answer creates some time after the
// work was answered completely, when no record was found before.
func TestUnknownWriteAroundSuccess(t *testing.T) {
	for name, events := range map[string]func(c *Core, hold Hold){
		"unknown before the answer": func(c *Core, hold Hold) {
			c.WriteUnknown(at(210*ms), work, hold)
			c.Succeeded(at(220*ms), work)
		},
		"unknown after the answer": func(c *Core, hold Hold) {
			c.Succeeded(at(200*ms), work)
			c.RecordRemoved(at(205*ms), work, 0)
			c.WriteUnknown(at(210*ms), work, hold)
		},
		"answer known by a report": func(c *Core, hold Hold) {
			other := New()
			other.MergeCrashes(at(200*ms), hold.Crashes)
			c.WriteUnknown(at(210*ms), work, hold)
			voided, _ := other.Succeeded(at(215*ms), work)
			c.MergeCrashes(at(220*ms), voided)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newHeld()
			hold := storedBy(t, c, 200*ms, 0)
			events(c, hold)
			checkRecord(t, c, 230*ms, 0, true)
			c.RecordRemoved(at(230*ms), work, 0)
			checkRecord(t, c, 240*ms, 0, true)
			hold.Version = 9
			if c.HoldStored(at(6*time.Second), work, hold); held(c, work, 6*time.Second) {
				t.Error("held again")
			}
			checkRecord(t, c, 6*time.Second, 9, true)
			c.RecordRemoved(at(7*time.Second), work, 9)
			checkRecord(t, c, 8*time.Second, 0, true)
			c.RecordRemoved(at(210*ms+maxWriteDelay), work, 0)
			checkRecord(t, c, 211*ms+maxWriteDelay, 0, false)
		})
	}
}

// TestRecordIsRemovedByReport checks that an instance that learns of a complete answer from another one removes the
// record that it knows, since the other one may have stopped, and recognizes one that is stored later.
func TestRecordIsRemovedByReport(t *testing.T) {
	writer, crashes := newHeld()
	hold := storedBy(t, writer, 200*ms, 5)
	voided, _ := writer.Succeeded(at(300*ms), work)
	for name, known := range map[string]bool{"record known before": true, "record known after": false} {
		t.Run(name, func(t *testing.T) {
			c := New()
			c.MergeCrashes(at(200*ms), crashes)
			if known {
				c.HoldStored(at(250*ms), work, hold)
			}
			c.MergeCrashes(at(310*ms), voided)
			checkRecord(t, c, 320*ms, 5, known)
			if !known {
				c.HoldStored(at(330*ms), work, hold)
				checkRecord(t, c, 340*ms, 5, true)
			}
			if held(c, work, 340*ms) {
				t.Error("held")
			}
		})
	}
}

// TestSuccessVoidsCrashesOfRecord guards against a hold that other instances keep because the one that got the complete
// answer knew no crash, only the record: it reports the crashes that the record names.
func TestSuccessVoidsCrashesOfRecord(t *testing.T) {
	writer, crashes := newHeld()
	c := New()
	c.HoldStored(at(200*ms), work, storedBy(t, writer, 200*ms, 5))
	voided, lifted := c.Succeeded(at(300*ms), work)
	if !lifted || len(voided) != len(crashes) {
		t.Errorf("lifted %t, %d crashes void, want %d", lifted, len(voided), len(crashes))
	}
	writer.MergeCrashes(at(310*ms), voided)
	if held(writer, work, 320*ms) {
		t.Error("held at the instance that detected the crashes")
	}
}

// TestHoldThatBeganAgainIsKept guards against the removal of the hold of work that crashed upstreams again after it was
// answered completely, at an instance that knows of the answer but not of the new crashes.
func TestHoldThatBeganAgainIsKept(t *testing.T) {
	writer, crashes := newHeld()
	first := storedBy(t, writer, 200*ms, 5)
	informed := New()
	informed.MergeCrashes(at(200*ms), crashes)
	informed.HoldStored(at(210*ms), work, first)
	voided, _ := informed.Succeeded(at(300*ms), work)
	writer.MergeCrashes(at(310*ms), voided)
	crash(writer, work, "c", 400*ms, 490*ms)
	crash(writer, work, "d", 500*ms, 590*ms)
	second := storedBy(t, writer, 600*ms, 8)
	if len(second.Crashes) != 2 {
		t.Errorf("%d crashes led to the second hold, want 2", len(second.Crashes))
	}
	if !informed.HoldStored(at(610*ms), work, second) {
		t.Error("the second hold isn't applied")
	}
	checkRecord(t, informed, 620*ms, 0, false)
	if informed.RecordDeleted(at(630*ms), work, 7) || !held(informed, work, 630*ms) {
		t.Error("lifted by the deletion of the first record")
	}
	if informed.HoldStored(at(640*ms), work, first); !held(informed, work, 640*ms) {
		t.Error("lifted by an older list")
	}
	checkRecord(t, informed, 640*ms, 0, false)
	if !informed.RecordDeleted(at(650*ms), work, 9) || held(informed, work, 650*ms) {
		t.Error("held after the second record was deleted")
	}
}

// TestDeletionWithoutVersion checks that a deletion ends a hold if the platform doesn't tell its version.
func TestDeletionWithoutVersion(t *testing.T) {
	c := New()
	c.HoldStored(at(0), work, Hold{Until: at(time.Minute), Times: 1, Version: 5})
	if !c.RecordDeleted(at(ms), work, 0) || held(c, work, ms) {
		t.Error("held after the record was deleted")
	}
}

// TestUnwantedRecordIsReplaced guards against a hold that isn't stored because the record of the hold before it, which
// was stored late, is taken for its own and is then removed.
func TestUnwantedRecordIsReplaced(t *testing.T) {
	c, _ := newHeld()
	first := storedBy(t, c, 200*ms, 5)
	c.Succeeded(at(300*ms), work)
	crash(c, work, "c", 400*ms, 490*ms)
	crash(c, work, "d", 500*ms, 590*ms)
	c.HoldStored(at(600*ms), work, first)
	if _, ok := c.UnstoredHold(at(610*ms), work); !ok {
		t.Fatal("the second hold isn't to be stored")
	}
	c.HoldStored(at(620*ms), work, storedBy(t, c, 620*ms, 6))
	checkRecord(t, c, 630*ms, 0, false)
	if !held(c, work, 630*ms) {
		t.Error("not held")
	}
}

// TestOwnCrashesOutlastStoredHold guards against an instance that no longer holds work, or stores no hold, because the
// stored hold of another instance ended, which other crashes led to than those known here.
func TestOwnCrashesOutlastStoredHold(t *testing.T) {
	other, crashes := newHeld()
	c := New()
	crash(c, work, "c", 100*ms, 300*ms)
	crash(c, work, "d", 310*ms, 500*ms)
	c.TakeNewHolds()
	c.HoldStored(at(510*ms), work, storedBy(t, other, 500*ms, 5))
	voided, _ := other.Succeeded(at(600*ms), work)
	if c.MergeCrashes(at(610*ms), voided); !held(c, work, 620*ms) {
		t.Error("not held")
	}
	if got := c.TakeNewHolds(); len(got) != 1 {
		t.Errorf("new holds: %v", got)
	}
	if hold := storedBy(t, c, 620*ms, 0); len(hold.Crashes) != 2 || hold.Crashes[0].sameCrash(&crashes[0]) {
		t.Errorf("crashes of the new hold: %v", hold.Crashes)
	}
}

// TestStoredHoldOutlastsOwnCrashes guards against an instance that sends work that is held because of crashes that it
// doesn't know, after those that it knows became void.
func TestStoredHoldOutlastsOwnCrashes(t *testing.T) {
	writer := New()
	crash(writer, work, "c", 300*ms, 390*ms)
	crash(writer, work, "d", 400*ms, 490*ms)
	c, crashes := newHeld()
	c.HoldStored(at(500*ms), work, storedBy(t, writer, 500*ms, 5))
	for i := range crashes {
		crashes[i].Void = true
	}
	if c.MergeCrashes(at(510*ms), crashes); !held(c, work, 520*ms) {
		t.Error("not held")
	}
	checkRecord(t, c, 520*ms, 0, false)
}

// TestLateWriteAfterDeletionIsUnwanted guards against work that is held again after the hold was deleted from the
// platform, because another instance stored the same hold late. Work that crashes upstreams again is held.
func TestLateWriteAfterDeletionIsUnwanted(t *testing.T) {
	writer, _ := newHeld()
	hold := storedBy(t, writer, 200*ms, 5)
	c := New()
	c.HoldStored(at(210*ms), work, hold)
	c.RecordDeleted(at(220*ms), work, 6)
	hold.Version = 7
	if c.HoldStored(at(230*ms), work, hold) || held(c, work, 230*ms) {
		t.Error("held again")
	}
	checkRecord(t, c, 240*ms, 7, true)
	if c.NeedsLivenessConn(at(240*ms), work) {
		t.Error("needs a liveness connection")
	}
	crash(c, work, "c", 300*ms, 390*ms)
	if held(c, work, 400*ms) {
		t.Error("held after one crash since the deletion")
	}
	crash(c, work, "d", 400*ms, 490*ms)
	if !held(c, work, 500*ms) {
		t.Error("not held after two crashes since the deletion")
	}
}

// TestRecordWithoutCrashes checks that a hold whose record doesn't name the crashes ends by a complete answer, that it
// doesn't come back by the same version of the record, and that a later version is applied.
func TestRecordWithoutCrashes(t *testing.T) {
	c := New()
	hold := Hold{Until: at(time.Minute), Times: 1, Version: 5}
	c.HoldStored(at(0), work, hold)
	c.Succeeded(at(100*ms), work)
	if c.HoldStored(at(200*ms), work, hold); held(c, work, 200*ms) {
		t.Error("held again by the same version")
	}
	checkRecord(t, c, 200*ms, 5, true)
	hold.Version = 6
	if c.HoldStored(at(300*ms), work, hold); !held(c, work, 300*ms) {
		t.Error("not held by a later version")
	}
	checkRecord(t, c, 300*ms, 0, false)
}

// TestRemovalIsBounded checks that an unwanted record is no longer to be removed once its hold has ended, and that the
// state is then forgotten.
func TestRemovalIsBounded(t *testing.T) {
	c, _ := newHeld()
	hold := storedBy(t, c, 200*ms, 5)
	c.Succeeded(at(210*ms), work)
	c.HoldStored(at(220*ms), work, hold)
	checkRecord(t, c, initialHold, 5, true)
	checkRecord(t, c, hold.Until.Sub(start), 0, false)
	c.Forget(at(2 * crashRetention))
	if c.HasSuspects() {
		t.Error("still suspected")
	}
}

// TestHoldIsStoredWithCrashesThatCount guards against the removal of a justified hold as its record names a crash that
// became void before the hold was stored.
func TestHoldIsStoredWithCrashesThatCount(t *testing.T) {
	c, crashes := newHeld()
	crash(c, work, "c", 195*ms, 350*ms) // was under way when the hold began
	crashes[0].Void = true
	c.MergeCrashes(at(400*ms), crashes[:1])
	hold := storedBy(t, c, 410*ms, 5)
	if len(hold.Crashes) != 2 || hold.Crashes[0].sameCrash(&crashes[0]) {
		t.Errorf("crashes of the stored hold: %v", hold.Crashes)
	}
	other := New()
	other.MergeCrashes(at(400*ms), crashes[:1])
	if other.HoldStored(at(420*ms), work, hold); !held(other, work, 430*ms) {
		t.Error("not held at an instance that knows the void crash only")
	}
}

// TestUnwantedRecordWithOtherClock shows what is not covered: instances whose clocks are more than sameEndWindow apart
// don't recognize each other's unwanted records. The writer recognizes its own.
func TestUnwantedRecordWithOtherClock(t *testing.T) {
	writer, crashes := newHeld()
	other := New()
	other.MergeCrashes(at(200*ms), crashes)
	hold := storedBy(t, writer, 200*ms, 5)
	voided, _ := writer.Succeeded(at(300*ms), work)
	other.MergeCrashes(at(310*ms), voided)
	writer.HoldStored(at(320*ms), work, hold)
	checkRecord(t, writer, 330*ms, 5, true)
	for i := range hold.Crashes {
		hold.Crashes[i].At = hold.Crashes[i].At.Add(2 * sameEndWindow)
		hold.Crashes[i].Sent = hold.Crashes[i].Sent.Add(2 * sameEndWindow)
	}
	if !other.HoldStored(at(320*ms), work, hold) {
		t.Error("recognized; then docs/decisions/019 has to say so")
	}
}
