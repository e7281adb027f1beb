// Package htmodel is a discrete-event model of callers, entry hosts and upstreams in
// virtual time. It runs dispatch policies, among them the production decision code of
// core/htdispatch and core/htroute, on the same arrivals and faults, and compares the
// results. A run is single-threaded and depends only on its seed.
package htmodel
