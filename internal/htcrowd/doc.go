// Package htcrowd plays clients that misbehave and measures what a process holds meanwhile. It is
// for tests that start a host as a process.
package htcrowd
