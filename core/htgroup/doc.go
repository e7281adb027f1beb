// Package htgroup knows the entry hosts that run at present and divides duties among
// them by capacity and rendezvous hashing: who reads the store, who passes on the messages of
// a failure domain and who may send to a cold upstream. Nothing is agreed or stored: a
// duty that two hosts hold for a moment costs a little, and one that nobody holds is
// taken up when the silent host is no longer counted.
package htgroup
