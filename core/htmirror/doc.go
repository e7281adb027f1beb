// Package htmirror keeps a copy of the platform's rows that every host needs: the
// declarations of operators and the announcements of upstreams. A few hosts read the
// store, and the others get the rows from them. After a restart, a host rebuilds the copy
// from the store or a peer. The copy is never written back.
package htmirror
