// Package htlog writes the log of a host without blocking the code that logs. The rate is
// limited for each kind of line and in total; lines beyond the limits are dropped and
// counted by kind.
package htlog
