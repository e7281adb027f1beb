// Package htconfig distributes the declared state to hosts: a Store reads and
// writes it in the table service, a Follower applies increasing revisions of it on
// a host, and a Writer processes operators' changes.
//
// The table service is accessed through package httable. It is not the store that
// package htmirror reads, which has a different API.
package htconfig
