// Package htmirror keeps a copy of the platform's rows that every host needs: the
// declarations of operators and the announcements of upstreams. A few hosts read the
// store; the others take the rows from them. The copy is rebuilt from the store or a
// peer after a restart and is never written back.
package htmirror
