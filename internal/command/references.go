package command

import (
	"slices"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// referrers returns the names of the objects that reference the given one, sorted.
// Objects that cannot be decoded are ignored, because daemons do not use them either.
func referrers(objects []platform.Object, kind, name string) []string {
	var out []string
	for _, o := range objects {
		if slices.Contains(references(o), reference{kind, name}) {
			out = append(out, qualifiedName(o))
		}
	}
	slices.Sort(out)
	return out
}

// reference is an object that another object names.
type reference struct{ kind, name string }

// referringKinds lists the kinds whose objects reference others.
var referringKinds = []string{
	resource.KindRoute, resource.KindRunner, resource.KindVersion, resource.KindAdapter, resource.KindClientAccount,
}

// references returns the objects that o references. An empty name in a result means that
// o leaves the field empty.
func references(o platform.Object) []reference {
	switch o.Kind {
	case resource.KindRoute:
		return decodeReferences(o, routeReferences)
	case resource.KindRunner:
		return decodeReferences(o, runnerReferences)
	case resource.KindVersion:
		return decodeReferences(o, func(v resource.Version) []reference {
			return []reference{{resource.KindModel, v.Model}}
		})
	case resource.KindAdapter:
		return decodeReferences(o, func(a resource.Adapter) []reference {
			return []reference{{resource.KindModel, a.Model}}
		})
	case resource.KindClientAccount:
		return decodeReferences(o, func(a resource.ClientAccount) []reference {
			return referencesTo(resource.KindRoute, a.Routes)
		})
	default:
		return nil
	}
}

// decodeReferences returns list of o's decoded spec, or nil if the spec can't be decoded.
func decodeReferences[T any](o platform.Object, list func(T) []reference) []reference {
	spec, err := resource.Decode[T](o)
	if err != nil {
		return nil
	}
	return list(spec)
}

func routeReferences(r resource.Route) []reference {
	out := []reference{
		{resource.KindModel, r.Model},
		{resource.KindAdapter, r.Adapter},
		{resource.KindService, r.Service},
	}
	for _, w := range r.Weights {
		out = append(out, reference{resource.KindVersion, w.Version})
	}
	return out
}

func runnerReferences(r resource.Runner) []reference {
	out := []reference{{resource.KindEngine, r.Engine}, {resource.KindModel, r.Model}}
	out = append(out, referencesTo(resource.KindVersion, r.Versions)...)
	return append(out, referencesTo(resource.KindAdapter, r.Adapters)...)
}

func referencesTo(kind string, names []string) []reference {
	out := make([]reference, 0, len(names))
	for _, name := range names {
		out = append(out, reference{kind, name})
	}
	return out
}
