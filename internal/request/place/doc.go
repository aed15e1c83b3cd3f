// Package place decides at which upstream a request runs, how long it may wait
// for a place, and when it is refused. Every process decides for itself, from the
// requests that it has under way and the load that upstreams tell with their
// answers. Pure.
//
// Book keeps the load of each upstream and picks one for a request. Queue keeps
// the requests for which there is no place yet, most urgent first, and refuses
// the ones whose latest useful start has passed.
package place
