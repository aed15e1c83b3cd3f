package resource

// KindDrain marks a runner that a controller is taking away for a planned change,
// named as the runner. Controllers write it; it is part of the configuration, so
// that every gateway stops sending new work there. No object: no planned change.
const KindDrain = "Drain"

// Drain is the mark of a planned change at a runner.
type Drain struct {
	Zone   string `json:"zone"`  // whose lease it was written under
	Epoch  uint64 `json:"epoch"` // of that lease
	Holder string `json:"holder"`
	Reason string `json:"reason"`
}

func checkDrain(c *checker, d Drain) {
	c.require(d.Zone != "", "zone", d.Zone, "must name an availability zone")
}
