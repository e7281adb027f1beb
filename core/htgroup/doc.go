// Package htgroup knows the entry hosts that run at present and divides duties among
// them by rendezvous hashing: who reads the store, who probes an upstream and who may
// send to a cold one. Nothing is agreed or stored: a duty that two hosts hold for a
// moment costs a little, and one that nobody holds is taken up when the silent host is
// no longer counted.
package htgroup
