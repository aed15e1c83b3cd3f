package streams

// Basis says on what an answer to the question for a stream's origin is based.
type Basis uint8

// The bases.
const (
	NoOpinion Basis = iota // there is no row
	ByRow                  // the origin is from a row
	// Instances of older programs answer with the next two. They conclude from how long they have followed the list of
	// upstreams, which says nothing of streams that began before, so that they count as NoOpinion.
	formerBySole
	formerByMixed
	ByRecord    // there is no row, and only one origin is possible by the platform's record (package origins)
	ByStoredRow // no instance has a row, but the platform has (DurableRows)
)

// MaxBasis is the largest basis.
const MaxBasis = ByStoredRow

// String returns the form that is used in logs.
func (b Basis) String() string {
	switch b {
	case ByRow:
		return "row"
	case ByRecord:
		return "only version"
	case ByStoredRow:
		return "stored row"
	}
	return "nothing"
}

// Answer is what one instance knows of a stream's origin.
type Answer struct {
	Basis  Basis
	Origin Origin // set if ByRow; empty: what is known is contradictory
}

// Resolve returns the origin of a stream by the own answer and those of other instances. found is false if nobody has a
// row. An origin without a version is unknown, as rows contradict each other: the stream can't be continued.
func Resolve(own Answer, others []Answer) (origin Origin, found bool) {
	for _, a := range append([]Answer{own}, others...) {
		switch {
		case a.Basis != ByRow:
		case !found:
			origin, found = a.Origin, true
		case origin != a.Origin:
			return Origin{}, true
		}
	}
	return origin, found
}
