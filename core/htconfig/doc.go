// Package htconfig distributes the declared state to hosts: a Store reads and
// writes it in the table service, a Follower applies increasing revisions of it on
// a host, and a Writer processes operators' changes.
package htconfig
