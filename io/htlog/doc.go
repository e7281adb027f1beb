// Package htlog writes the log of a host without ever holding up the parts that log. The
// volume is bounded for each kind of line and in sum; lines beyond the bounds are dropped
// and counted by kind.
package htlog
