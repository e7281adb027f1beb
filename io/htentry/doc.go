// Package htentry runs an entry host that sends each call to an upstream by itself: it
// replicates the declarations together with the other hosts, monitors upstreams, serves
// callers and performs planned stops. The environment is passed in as Dependencies.
// Package htadapter in platform provides it for the command hawthornturn-entry. In contrast,
// the hosts of package hthost forward calls to the hosts that own their keys and pool shards.
package htentry
