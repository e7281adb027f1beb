// Package htentry runs an entry host that decides alone: it follows the declarations
// with the other hosts, watches upstreams, serves callers and makes planned stops. The
// surroundings are given to it as ports.
package htentry
