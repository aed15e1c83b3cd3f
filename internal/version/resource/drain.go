package resource

// KindDrain is the kind of the objects that mark a runner as being drained for a planned
// change. The object has the runner's name. Controllers write it. It is part of the
// configuration, so that every gateway stops sending new work to the runner. If a runner
// has no such object, no change of it is planned.
const KindDrain = "Drain"

// Drain is the spec of KindDrain.
type Drain struct {
	Zone   string `json:"zone"`   // availability zone of the lease under which the drain was written
	Epoch  uint64 `json:"epoch"`  // epoch of this lease
	Holder string `json:"holder"` // holder of this lease
	Reason string `json:"reason"` // why the runner is drained
}

func checkDrain(c *checker, d Drain) {
	c.require(d.Zone != "", "zone", d.Zone, "must name an availability zone")
}
