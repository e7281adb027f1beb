// Package htmemory bounds the bytes of request and response bodies that a host holds at a
// time, so that large or endless bodies end calls and not the process.
package htmemory
