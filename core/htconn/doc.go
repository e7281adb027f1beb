// Package htconn decides which connections of clients a host keeps when descriptors or memory
// are short: the ones that make the least progress are closed first.
package htconn
