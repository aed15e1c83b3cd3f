package resource

// KindDrain marks a runner that a controller is taking away for a planned change,
// named as the runner. Controllers write it; it is part of the configuration, so
// that every gateway stops sending new work there. No object: no planned change.
const KindDrain = "Drain"

// DrainPhase says how far a planned change is.
type DrainPhase string

// The phases of a planned change.
const (
	DrainStopped  DrainPhase = "draining" // gets no new work, streams finish
	DrainChanging DrainPhase = "changing" // holds an order
)

// Drain is the mark of a planned change at a runner.
type Drain struct {
	Zone   string     `json:"zone"`  // whose lease it was written under
	Epoch  uint64     `json:"epoch"` // of that lease
	Holder string     `json:"holder"`
	Phase  DrainPhase `json:"phase"`
	Reason string     `json:"reason"`
}

func checkDrain(c *checker, d Drain) {
	c.require(d.Phase == DrainStopped || d.Phase == DrainChanging, "phase", string(d.Phase), "must be draining or changing")
}
