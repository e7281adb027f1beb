// Package htrollout decides how the calls of a service move to upstreams of another version:
// in steps, by the answers of both versions side by side. Every host runs the same decisions
// on the summed evidence of all hosts, so that none is in charge of them. The package opens
// no sockets and reads no clock.
package htrollout
