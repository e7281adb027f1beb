// Package htgroup tracks which entry hosts are running and assigns roles to them by
// capacity and rendezvous hashing: which host reads the store, which one forwards the
// messages of a failure domain and which ones may send to a cold upstream. Hosts neither
// agree on roles nor store them: a role that two hosts hold for a moment costs little, and
// a role whose holder has failed is taken over when that host has timed out.
package htgroup
