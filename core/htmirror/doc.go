// Package htmirror keeps a copy of the platform's rows that every host needs: the
// declarations of operators and the announcements of upstreams. One host at a time reads
// the store, and the others get the rows from that host or from each other. While the
// reader is being replaced, there may be none or several. After a restart, a host rebuilds
// the copy from the store or a peer. The copy is never written back.
//
// The store is the platform's metadata store, which is read through the Store interface. It
// is not the table service of package httable, which has a different API.
package htmirror
