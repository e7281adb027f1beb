// Package htlog writes log lines without ever holding up their writer. Lines beyond a
// bound are dropped and counted.
package htlog
