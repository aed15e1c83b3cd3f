package streams

// Basis says on what an answer to the question for a stream's origin is based.
type Basis uint8

// The bases.
const (
	NoOpinion Basis = iota // neither a row nor an up-to-date list of upstreams
	ByRow                  // the origin is from a row
	BySole                 // there is no row, and upstreams of only one version served for as long as callers wait
	ByMixed                // there is no row, and upstreams of several versions served
)

// String returns the form that is used in logs.
func (b Basis) String() string {
	switch b {
	case ByRow:
		return "row"
	case BySole:
		return "only version"
	case ByMixed:
		return "several versions"
	}
	return "nothing"
}

// Answer is what one instance knows of a stream's origin.
type Answer struct {
	Basis  Basis
	Origin Origin // set if ByRow or BySole; empty with ByRow: what is known is contradictory
}

// Resolve returns the origin of a stream by the own answer and those of other instances. asked is how many were asked.
// An origin without a version is unknown: the stream can't be continued.
//
// A row decides. Without one, the list of upstreams does, unless another list says that there were several versions. The
// own list alone isn't enough if none of the others answered, since this instance may then be cut off.
func Resolve(own Answer, others []Answer, asked int) (Origin, Basis) {
	all := append([]Answer{own}, others...)
	if origin, found := agreed(all, ByRow); found {
		return origin, ByRow
	}
	for _, a := range all {
		if a.Basis == ByMixed {
			return Origin{}, ByMixed
		}
	}
	if asked > 0 && len(others) == 0 {
		return Origin{}, NoOpinion
	}
	if origin, found := agreed(all, BySole); found {
		return origin, BySole
	}
	return Origin{}, NoOpinion
}

// agreed returns the origin in the answers with a basis. It is empty if they differ.
func agreed(answers []Answer, basis Basis) (origin Origin, found bool) {
	for _, a := range answers {
		switch {
		case a.Basis != basis:
		case !found:
			origin, found = a.Origin, true
		case origin != a.Origin:
			return Origin{}, true
		}
	}
	return origin, found
}
