// Package htgossip implements the messages between entry hosts of package htentry, which
// exchange state but no calls: short datagrams with heartbeats, faults and small rows, and
// HTTP responses with the rows of the mirrored tables. Datagrams may be lost; each heartbeat
// repeats all state that must arrive. Hosts of package hthost use package htpeer instead.
package htgossip
