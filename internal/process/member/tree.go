package member

// children gives the daemons to which self passes on what origin sends to its
// zone: the next level of the breadth-first tree over the zone's links. With the
// same view everywhere each daemon gets each message once.
func (g topology) children(origin, self string, zoneOf map[string]string) []string {
	zone := zoneOf[origin]
	parent := map[string]string{origin: ""}
	queue := []string{origin}
	var out []string
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		for _, next := range g[name] {
			if _, seen := parent[next]; seen || zoneOf[next] != zone {
				continue
			}
			parent[next] = name
			queue = append(queue, next)
			if name == self {
				out = append(out, next)
			}
		}
	}
	return out
}
