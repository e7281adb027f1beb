// Package htpeer sends and receives calls and control messages between entry hosts of
// package hthost over HTTP/3 with mutual TLS. Hosts of package htentry, which
// exchange state but no calls, use package htgossip instead.
package htpeer
