// Package htexplain reads the logs of entry hosts and tells what became of one request, or
// where a configuration is in force.
package htexplain
