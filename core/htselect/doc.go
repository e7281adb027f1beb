// Package htselect chooses the upstream for each call on a host that decides without asking
// other hosts. It compares the expected completion times on the upstreams of the service,
// using the newest report of each upstream's work time and load and the calls that this
// host has in flight. It picks the upstreams to probe before a choice and bounds the probe
// rate, the calls to cold upstreams and the retries and hedges.
//
// A Selector opens no sockets, takes the time as an argument and is not safe for concurrent
// use.
package htselect
