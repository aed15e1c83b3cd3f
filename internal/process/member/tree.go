package member

// maxChildren limits the copies of one message that a daemon sends, so that the load is
// spread evenly over the daemons. It is exceeded only if not all can be reached otherwise.
const maxChildren = 4

// tree is a relay tree: it maps each daemon of a zone to the daemons to which it
// relays the messages of one origin, the daemon that creates the messages. It is a
// breadth-first tree over the links of the zone. If a daemon has several possible
// parents, a hash of the parent's name and the origin decides, so that the trees of
// different origins load the daemons evenly. If all daemons see the same members, each
// gets each message once.
type tree map[string][]string

// treeFrom returns the relay tree of an origin. zoneOf holds the zones of the daemons.
func (g topology) treeFrom(origin string, zoneOf map[string]string) tree {
	t := tree{}
	seen := map[string]bool{origin: true}
	t.addReachable(g, origin, zoneOf, seen, maxChildren)
	t.addReachable(g, origin, zoneOf, seen, len(zoneOf)) // adds daemons that only full parents could have added
	return t
}

// addReachable adds the daemons of the origin's zone that can be reached from those in
// seen, level by level, and adds them to seen. Each parent gets at most limit children.
func (t tree) addReachable(g topology, origin string, zoneOf map[string]string, seen map[string]bool, limit int) {
	var level []string
	for name := range seen {
		level = append(level, name)
	}
	for len(level) > 0 {
		var next []string
		for _, name := range ranked(level, origin) {
			for _, child := range ranked(g[name], origin) {
				if seen[child] || zoneOf[child] != zoneOf[origin] || len(t[name]) >= limit {
					continue
				}
				seen[child] = true
				t[name] = append(t[name], child)
				next = append(next, child)
			}
		}
		level = next
	}
}
