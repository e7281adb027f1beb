package htentry

import (
	"net/http"

	"hawthornturn/io/htclient"
)

// Shares of the listeners. The rest is for bodies, and for connections to upstreams, the store and
// other hosts.
var (
	callersShare   = htclient.Share{Memory: 0.2, Descriptors: 0.35}
	balancerShare  = htclient.Share{Memory: 0.04, Descriptors: 0.03}
	peersShare     = htclient.Share{Memory: 0.05, Descriptors: 0.12}
	operatorsShare = htclient.Share{Memory: 0.02, Descriptors: 0.03}
)

// upstreamsDescriptorShare has room for a call on each connection of a caller, and for those that
// are started before their turn.
const upstreamsDescriptorShare = 0.45

// smallHeadBytes bounds the header of a request to a listener other than that of callers.
const smallHeadBytes = 16 << 10

// UpstreamConnections returns the number of connections to upstreams from which idle ones give way
// to new ones, or 0 if descriptors are not bounded.
func (s Settings) UpstreamConnections() int {
	return int(upstreamsDescriptorShare * float64(s.Descriptors))
}

// newClientTables creates the tables of all listeners.
func (e *Entry) newClientTables() {
	resources := htclient.Resources{Memory: e.settings.Memory, Descriptors: e.settings.Descriptors}
	small := func() int { return smallHeadBytes }
	e.callers = htclient.New("callers", resources, callersShare, e.callersHeadBytes, e.timers.Now)
	e.balancer = htclient.New("balancer", resources, balancerShare, small, e.timers.Now)
	e.peers = htclient.New("peers", resources, peersShare, small, e.timers.Now)
	e.operators = htclient.New("operators", resources, operatorsShare, small, e.timers.Now)
}

// callersHeadBytes returns the declared limit of a request's header.
func (e *Entry) callersHeadBytes() int {
	if config := e.Catalog().Config; config != nil && config.Limits.HeaderBytes > 0 {
		return config.Limits.HeaderBytes
	}
	return http.DefaultMaxHeaderBytes
}
