// Package htback sends calls to upstreams over HTTP/1.1 and parses the load reports in
// their responses. Only this package knows the header fields shared with upstreams.
package htback
