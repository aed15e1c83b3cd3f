package origins

import (
	"math"
	"strings"
	"time"
)

const (
	// Memory is how long an entry is kept in the record after it has left: the last upstream with the version was removed
	// from the list, or the route leads to the service no longer. No caller is assumed to resume a stream later than that.
	Memory = 24 * time.Hour
	// NoEra is the era of a record that can't be read.
	NoEra = math.MaxUint64
)

// Left says when each version, or service, has left: Unix ms, 0 if it has not.
type Left map[string]int64

// Record is the content of the only object of kind resource.KindOriginRecord.
type Record struct {
	Era          uint64          `json:"era"`          // of the store, when the record was last known to be complete
	IncompleteMS int64           `json:"incompleteMS"` // until then entries may be missing, Unix ms
	Versions     map[string]Left `json:"versions"`     // of software, by service
	Routes       map[string]Left `json:"routes"`       // services, by the route's host and path prefix
}

// Origin is where a stream may have begun.
type Origin struct {
	Service  string
	Software string // version of software
}

// Sole returns the origin of each stream on a path of a host whose caller asks before the record is read. ok is false if
// several origins are possible, or if the record may lack entries in the given era of the store.
//
// A stream may have begun on any route whose path prefix matches: the one that matches best may be new, or gone.
func (r *Record) Sole(era uint64, now time.Time, host, path string) (origin Origin, ok bool) {
	possible := r.possible(now, host, path)
	if !r.complete(era, now) || len(possible) != 1 {
		return Origin{}, false
	}
	if _, ok = r.soleVersion(now, possible[0].Service); !ok {
		return Origin{}, false
	}
	return possible[0], true
}

// Ambiguous reports whether several origins are possible of streams on a path of a host.
func (r *Record) Ambiguous(era uint64, now time.Time, host, path string) bool {
	return r.complete(era, now) && len(r.possible(now, host, path)) > 1
}

// possible returns the possible origins of streams on a path of a host. The version of a service that had none is empty.
func (r *Record) possible(now time.Time, host, path string) []Origin {
	services := make(map[string]bool)
	for prefix, left := range r.Routes {
		if strings.HasPrefix(host+path, prefix) {
			left.addKept(now, services)
		}
	}
	var out []Origin
	for service := range services {
		versions := make(map[string]bool)
		r.Versions[service].addKept(now, versions)
		if len(versions) == 0 {
			out = append(out, Origin{Service: service})
		}
		for v := range versions {
			out = append(out, Origin{Service: service, Software: v})
		}
	}
	return out
}

// complete reports whether the record has all entries in an era of the store.
func (r *Record) complete(era uint64, now time.Time) bool {
	return r.Era == era && now.UnixMilli() >= r.IncompleteMS
}

// soleVersion returns the only version of a service.
func (r *Record) soleVersion(now time.Time, service string) (version string, ok bool) {
	versions := make(map[string]bool)
	r.Versions[service].addKept(now, versions)
	return only(versions)
}

// addKept adds what hasn't left, or left within Memory.
func (l Left) addKept(now time.Time, to map[string]bool) {
	for name, ms := range l {
		if !forgotten(ms, now) {
			to[name] = true
		}
	}
}

// only returns the only element of a set.
func only(set map[string]bool) (element string, ok bool) {
	for e := range set {
		element = e
	}
	return element, len(set) == 1
}

// forgotten reports whether what left at the given time is no longer kept.
func forgotten(leftMS int64, now time.Time) bool {
	return leftMS != 0 && now.Sub(time.UnixMilli(leftMS)) >= Memory
}

// entry is one entry of a record: a version of a service, or a service of a route.
type entry struct {
	isRoute     bool
	name, value string
}

// entries returns the entries of a record with the times at which they left.
func (r *Record) entries() map[entry]int64 {
	out := make(map[entry]int64)
	add := func(isRoute bool, all map[string]Left) {
		for name, left := range all {
			for value, ms := range left {
				out[entry{isRoute: isRoute, name: name, value: value}] = ms
			}
		}
	}
	add(false, r.Versions)
	add(true, r.Routes)
	return out
}

// setEntries sets the entries of a record.
func (r *Record) setEntries(entries map[entry]int64) {
	r.Versions, r.Routes = make(map[string]Left), make(map[string]Left)
	for e, ms := range entries {
		to := r.Versions
		if e.isRoute {
			to = r.Routes
		}
		if to[e.name] == nil {
			to[e.name] = make(Left)
		}
		to[e.name][e.value] = ms
	}
}
