// Package htselect chooses the upstream for each call on a host that decides alone. It
// compares the expected completion times on all upstreams of the service, from the
// newest report of each upstream's speed and load, and from the calls that this host has
// in flight. It names the upstreams to ask before a choice, and it bounds how often they
// are asked, what cold ones get and how many calls are sent more than once.
//
// A Selector opens no sockets, takes the time as an argument and is not safe for
// concurrent use.
package htselect
