package platform

// revisionBits is the number of low bits of a version that hold the revision; the bits above hold
// the era. A platform may lose its latest writes when it is restored from an older copy. It then
// assigns the revisions after that copy a second time, so a revision alone does not identify a
// state. Therefore each restore begins a new era. As the era is in the high bits, versions grow even
// across a restore: they compare like the pairs of era and revision.
const revisionBits = 40

// MaxRevision is the largest revision that a version can hold.
const MaxRevision = 1<<revisionBits - 1

// VersionOf returns the version of a revision in an era. Revision 0 means none and has version 0 in
// every era. A revision above MaxRevision is replaced by MaxRevision.
func VersionOf(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | min(revision, MaxRevision)
}

// EraOf returns the era of a version. It grows with each restore of the platform from an older copy
// and may begin at any number.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version within its era.
func RevisionOf(version uint64) uint64 { return version & MaxRevision }
