// Package htpeer sends and receives calls and control messages between entry hosts over
// HTTP/3 with mutual TLS.
package htpeer
