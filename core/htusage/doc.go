// Package htusage bounds the requests of client accounts, summed over all hosts. Each host
// counts what its callers ask; one host of each failure domain, the hub, sums the counts of
// its domain, exchanges the sums with the other hubs, and tells the hosts of its domain which
// share of the calls to admit while an account is near its limit. An account far below its
// limit is admitted by each host alone. The package opens no sockets and reads no clock.
package htusage
