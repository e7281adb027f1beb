// Package htexplain reads the logs of entry hosts and reports how one request was handled
// and why, or on which hosts a configuration is in force.
package htexplain
