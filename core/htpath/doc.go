// Package htpath routes a call through the entry hosts: from the front end to the
// owner of its key, if it has one, to the dispatcher of a pool shard, and to an
// upstream. It decides which outcome the caller gets. Network I/O is behind the
// interfaces Peers and Upstreams.
package htpath
