// Package settle determines whether a conditional write whose answer was lost took effect, from
// the object that is read afterwards. It does no I/O.
package settle

// Outcome is the state of an earlier write as shown by a later read.
type Outcome int

// The outcomes of a write.
const (
	// TookEffect means that the stored object is the one written.
	TookEffect Outcome = iota
	// Resend means that the write has had no effect as of the read, but may still be in transit.
	// The caller should send it again with the same nonce and base: at most one of the copies
	// takes effect.
	Resend
	// Superseded means that another write or a delete changed the object, before or after
	// this write. The write can't take effect any more.
	Superseded
)

// Write identifies a conditional write: it takes effect only if the object's version is Base.
type Write struct {
	Base  uint64 // version that the write replaces; 0: it creates the object
	Nonce string // differs for each write
}

// Read is the object as read back.
type Read struct {
	Found   bool
	Version uint64
	Nonce   string // of the write that stored this version
}

// Resolve returns the outcome of a write according to a later read. Only a matching nonce proves
// that the write took effect. If the read is stale and shows a version before the write, Resolve
// returns Resend although the write may have taken effect; sending it again is harmless.
func Resolve(w Write, r Read) Outcome {
	switch {
	case r.Found && r.Nonce == w.Nonce:
		return TookEffect
	case !r.Found && w.Base == 0:
		return Resend
	case r.Found && r.Version <= w.Base:
		return Resend
	}
	return Superseded
}
