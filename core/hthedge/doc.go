// Package hthedge decides whether a late call is sent to a second upstream under a limit on
// the extra work that operators accept. It tracks how late calls of a route usually are and
// keeps a budget of work for each service. It opens no sockets, takes the time as an
// argument and is not safe for concurrent use.
package hthedge
