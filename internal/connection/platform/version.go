package platform

// A platform may lose its latest writes and come back from an older copy. Its revisions then
// go back and are given out again, so a revision alone names no state. Each return begins a
// new era, and a version holds both: the era above, the revision below. Versions therefore
// only grow, also over a return, and comparing two of them compares the pairs.
const revisionBits = 40

// MostRevision is the largest revision that a version can hold.
const MostRevision = 1<<revisionBits - 1

// VersionOf gives the version of a revision in an era. Revision 0 means none in every era.
func VersionOf(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | min(revision, MostRevision)
}

// EraOf gives the era of a version: how often the platform had come back from an older
// copy by then, counted from any number.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf gives the revision of a version within its era.
func RevisionOf(version uint64) uint64 { return version & MostRevision }
