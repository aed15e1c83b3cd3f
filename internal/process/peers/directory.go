package peers

import "time"

// Directory names the instances of an availability zone that others may ask for places. Its size doesn't
// grow with the zone, so all instances of a large deployment can read the directories of all zones when
// they start together. The whole list of instances, read by each of them, would be too much for the
// platform at that moment.
type Directory struct {
	Zone  string `json:"zone"`
	Size  int    `json:"size"`  // number of instances of the zone
	First []Peer `json:"first"` // the first maxGroups groups of the zone, in rank
}

// SetDirectories sets what is known of the availability zones until the platform's whole list is
// received. It reports whether that is enough to ask others for places: whether there is a directory of
// the local zone.
func (c *Core) SetDirectories(now time.Time, directories []Directory) bool {
	own := false
	c.zoneSizes = make(map[string]int, len(directories))
	for _, d := range directories {
		own = own || d.Zone == c.self.Zone
		c.zoneSizes[d.Zone] = d.Size
		for _, p := range d.First {
			c.addOrUpdate(now, p)
		}
	}
	c.ranking, c.hasUnlisted = nil, false
	if own {
		c.setListed(now)
	}
	return own
}

// NeedsList reports whether this instance needs the platform's whole list of instances now: because it
// follows the upstreams, or because no instance that it knows of its zone answers.
func (c *Core) NeedsList(now time.Time) bool {
	return !c.listed || c.NeedsUpstreams(now) || c.isolated(now)
}

// OwnDirectory returns the directory of the local availability zone. ok is false unless this instance is
// the first live placer of the zone, knows the platform's whole list, and the zone is larger than its
// directory.
func (c *Core) OwnDirectory(now time.Time) (d Directory, ok bool) {
	list := c.rankedZone()
	n := maxGroups * c.groupSize(list)
	if !c.listedWhole || len(list) <= n || !c.isFirstPlacer(now) {
		return Directory{}, false
	}
	d = Directory{Zone: c.self.Zone, Size: len(list)}
	for _, m := range list[:n] {
		p := m.Peer
		if m == c.selfMember {
			p = c.self
		}
		d.First = append(d.First, p)
	}
	return d, true
}
