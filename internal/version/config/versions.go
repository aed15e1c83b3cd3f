package config

// ObjectVersions returns the newest known version of each object of a kind, by name.
func (d *Distributor) ObjectVersions(kind string) map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.ObjectVersions(kind)
}
