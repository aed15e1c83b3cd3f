package member

// tree is the breadth-first tree over a zone's links by which the messages of one
// daemon reach its zone. Where a daemon could get them from several others, a hash
// of the origin decides, so that the trees of different origins load the daemons
// evenly. With the same view everywhere each daemon gets each message once.
type tree map[string][]string // daemon to those that it passes messages on to

// treeFrom computes the tree of an origin.
func (g topology) treeFrom(origin string, zoneOf map[string]string) tree {
	zone := zoneOf[origin]
	seen := map[string]bool{origin: true}
	t := tree{}
	for level := []string{origin}; len(level) > 0; {
		var next []string
		for _, name := range ranked(level, origin) {
			for _, child := range g[name] {
				if !seen[child] && zoneOf[child] == zone {
					seen[child] = true
					t[name] = append(t[name], child)
					next = append(next, child)
				}
			}
		}
		level = next
	}
	return t
}
